/** Serves requests that carry an attempt id: the entry, the guard and the lifecycle of the local target. */
package org.oleanderturn.mesh;
