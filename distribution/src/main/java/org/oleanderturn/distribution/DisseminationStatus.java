package org.oleanderturn.distribution;

/**
 * Counts of the updates that a node has sent to its peers since its start, for the state dump and the metrics.
 *
 * <p>Immutable and thread safe.
 *
 * @param pushes the updates pushed to peers
 * @param failedPushes the pushes that got no response
 * @param deltas the deltas served to peers that asked or responded with the version they hold
 * @param snapshots the full snapshots served
 * @param refusals the snapshots refused because of the rate limit
 */
public record DisseminationStatus(long pushes, long failedPushes, long deltas, long snapshots, long refusals) {}
