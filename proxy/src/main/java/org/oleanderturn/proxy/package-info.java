/** HTTP in and out: the entry for callers and the guard of the local target. */
package org.oleanderturn.proxy;
