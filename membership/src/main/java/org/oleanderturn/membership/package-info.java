/**
 * Gossip membership: which nodes are there, what state their targets are in and which version they hold.
 *
 * <p>Pure logic with injected clock, randomness and transport; {@link org.oleanderturn.membership.Gossip} is the way in.
 */
package org.oleanderturn.membership;
