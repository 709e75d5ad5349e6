/** Serves requests that carry an attempt id: the entry, the guard, and the life of the local target. */
package org.oleanderturn.mesh;
