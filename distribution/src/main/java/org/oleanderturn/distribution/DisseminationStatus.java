package org.oleanderturn.distribution;

/**
 * Counts of what a node sent to its peers since its start, for the state dump and the metrics.
 *
 * <p>Immutable and thread safe.
 *
 * @param pushes messages pushed
 * @param failedPushes pushes without an answer
 * @param deltas deltas served on request
 * @param snapshots snapshots served
 * @param refusals snapshots put off for the budget
 */
public record DisseminationStatus(long pushes, long failedPushes, long deltas, long snapshots, long refusals) {}
