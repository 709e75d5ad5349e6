package org.oleanderturn.mesh;

import java.time.Duration;

/** The times that a guard allows a request for each of its stages. Immutable; thread safe as its component is. */
record GuardTimes(LatencyRatio latencyRatio) {
    /**
     * The share of its target latency that a request may wait for the rate limit of the target. Another target may have room,
     * and the client had better come back than wait for long.
     */
    private static final double MAXIMUM_PACING_SHARE = 0.5;

    /** The share of the remaining time that a request may wait for a slot; the rest is left for the run. */
    private static final double MAXIMUM_WAIT_SHARE = 0.6;

    /** The share of its target latency that a large response may wait for the link; it has to cross two links then. */
    private static final double MAXIMUM_LINK_WAIT_SHARE = 0.5;

    /** A request with less time left is never begun, as its response would come too late for anyone. */
    private static final Duration SHORTEST_RUN = Duration.ofMillis(30);

    /** Returns how long a request may wait for a slot; less where the target limits its rate. */
    Duration maximumWait(GuardRequestMetadata metadata, boolean isRateLimited) {
        double wait = metadata.remaining().toNanos() * MAXIMUM_WAIT_SHARE;
        double pacingWait = metadata.targetLatency().toNanos() * MAXIMUM_PACING_SHARE;
        return Duration.ofNanos((long) (isRateLimited ? Math.min(wait, pacingWait) : wait));
    }

    /** Returns how long a large response may wait for the link of this node. */
    Duration maximumLinkWait(GuardRequestMetadata metadata) {
        return Duration.ofNanos((long) (metadata.targetLatency().toNanos() * MAXIMUM_LINK_WAIT_SHARE));
    }

    /** Returns how much time must be left for a run that may end in time, as targets run some requests faster than usual. */
    Duration shortestRun(GuardRequestMetadata metadata) {
        Duration likely =
                latencyRatio.expectedDuration(metadata.targetLatency()).dividedBy(2);
        return likely.compareTo(SHORTEST_RUN) > 0 ? likely : SHORTEST_RUN;
    }
}
