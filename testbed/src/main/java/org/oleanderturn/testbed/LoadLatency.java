package org.oleanderturn.testbed;

import org.HdrHistogram.Histogram;

/**
 * Percentiles of the latency of one kind of request, in microseconds.
 *
 * <p>Immutable and thread safe.
 *
 * @param count the number of recorded latencies, not a time
 * @param highest the maximum
 */
public record LoadLatency(long count, long median, long percentile95, long percentile99, long highest) {
    private static final double MEDIAN = 50;
    private static final double PERCENTILE_95 = 95;
    private static final double PERCENTILE_99 = 99;

    /** Returns the percentiles of a histogram whose values are microseconds. */
    public static LoadLatency of(Histogram microseconds) {
        return new LoadLatency(
                microseconds.getTotalCount(),
                microseconds.getValueAtPercentile(MEDIAN),
                microseconds.getValueAtPercentile(PERCENTILE_95),
                microseconds.getValueAtPercentile(PERCENTILE_99),
                microseconds.getMaxValue());
    }
}
