/**
 * Acceptance of configuration changes, dissemination of the accepted versions between nodes and their monotonic
 * adoption.
 */
package org.oleanderturn.distribution;
