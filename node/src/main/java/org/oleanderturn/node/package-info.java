/** The node process: settings, wiring, metrics, state dump and the operators' HTTP interface. */
package org.oleanderturn.node;
