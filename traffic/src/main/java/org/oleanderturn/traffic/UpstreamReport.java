package org.oleanderturn.traffic;

import org.oleanderturn.model.NodeId;

/**
 * What an entry knows of one upstream, for the state dump. Immutable and thread safe.
 *
 * @param node the node that guards it
 * @param outstanding requests of this entry in flight there
 * @param latencyMicroseconds moving average of the time to the first response byte, zero when unknown
 * @param failureRun failures since the last success
 * @param windowAnswers responses in the current and the previous window of five seconds, failures included
 * @param windowFailures failures in the same windows
 * @param isEjected whether outlier ejection keeps requests from it
 * @param isRefusing whether it refused a request and its retry-after time has not passed
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
        UpstreamMetrics metrics = upstream.metrics();
        return new UpstreamReport(
                upstream.endpoint().node(),
                upstream.outstanding(),
                Math.round(metrics.averageLatencyNanoseconds() / NANOSECONDS_PER_MICROSECOND),
                metrics.consecutiveFailures(),
                metrics.windowResponses(),
                metrics.windowFailures(),
                isEjected,
                upstream.isRefusing(now));
    }
}
