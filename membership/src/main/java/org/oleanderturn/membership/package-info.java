/**
 * Gossip membership: which nodes exist, the state of their targets and the configuration version they hold.
 *
 * <p>Clock, randomness and transport are injected. {@link org.oleanderturn.membership.Gossip} is the entry point.
 */
package org.oleanderturn.membership;
