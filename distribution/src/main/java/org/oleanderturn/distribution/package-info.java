/** Acceptance of changes, spread of versions and their monotonic adoption. */
package org.oleanderturn.distribution;
