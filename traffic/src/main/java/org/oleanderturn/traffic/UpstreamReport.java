package org.oleanderturn.traffic;

import org.oleanderturn.model.NodeId;

/**
 * What an entry knows of one upstream, for the state dump.
 *
 * @param node the node that guards it
 * @param outstanding requests of this entry that are out there
 * @param latencyMicroseconds moving average to the first answer byte, zero when unknown
 * @param failureRun failures since the last success
 * @param windowAnswers answers in the last seconds
 * @param windowFailures failures in the last seconds
 * @param isEjected whether it gets no request
 * @param isRefusing whether it asked to be left alone for a moment
 */
public record UpstreamReport(
        NodeId node,
        int outstanding,
        long latencyMicroseconds,
        int failureRun,
        int windowAnswers,
        int windowFailures,
        boolean isEjected,
        boolean isRefusing) {
    private static final double NANOSECONDS_PER_MICROSECOND = 1e3;

    static UpstreamReport of(Upstream upstream, boolean isEjected, long now) {
        UpstreamMetrics seen = upstream.metrics();
        return new UpstreamReport(
                upstream.endpoint().node(),
                upstream.outstanding(),
                Math.round(seen.averageLatencyNanoseconds() / NANOSECONDS_PER_MICROSECOND),
                seen.consecutiveFailures(),
                seen.windowResponses(),
                seen.windowFailures(),
                isEjected,
                upstream.isRefusing(now));
    }
}
