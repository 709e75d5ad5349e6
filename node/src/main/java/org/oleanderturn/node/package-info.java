/** The node process: settings, wiring of the control and data planes, metrics, state dump and the operators' interface. */
package org.oleanderturn.node;
