package org.oleanderturn.testbed;

import java.util.List;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/**
 * The results of the requests of one load, in no particular order.
 *
 * <p>Immutable and thread safe.
 *
 * @param all one sample for each request
 */
record TrafficSamples(List<TrafficSample> all) {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    TrafficSamples {
        all = List.copyOf(all);
    }

    TrafficSamples filter(Predicate<TrafficSample> predicate) {
        return new TrafficSamples(all.stream().filter(predicate).toList());
    }

    TrafficSamples filter(TrafficSample.Outcome outcome) {
        return filter(sample -> sample.outcome() == outcome);
    }

    TrafficSamples answeredWithin(double milliseconds) {
        return filter(sample -> sample.outcome() == TrafficSample.Outcome.ANSWERED
                && sample.latencyNanoseconds() <= milliseconds * NANOSECONDS_PER_MILLISECOND);
    }

    /** Returns these samples, with the latency of each unanswered request raised to at least the given time. */
    TrafficSamples withUnansweredLatencyAtLeast(double milliseconds) {
        long minimumNanoseconds = (long) (milliseconds * NANOSECONDS_PER_MILLISECOND);
        return new TrafficSamples(all.stream()
                .map(sample -> sample.outcome() == TrafficSample.Outcome.ANSWERED
                        ? sample
                        : new TrafficSample(
                                sample.dueNanoseconds(),
                                Math.max(minimumNanoseconds, sample.latencyNanoseconds()),
                                sample.outcome()))
                .toList());
    }

    /** Returns the requests due in [from, until), in milliseconds from the start of the load. */
    TrafficSamples dueBetween(double from, double until) {
        return filter(sample -> sample.dueNanoseconds() >= from * NANOSECONDS_PER_MILLISECOND
                && sample.dueNanoseconds() < until * NANOSECONDS_PER_MILLISECOND);
    }

    /** Returns the requests that ended in [from, until), in milliseconds from the start of the load. */
    TrafficSamples completedBetween(double from, double until) {
        return filter(
                sample -> sample.dueNanoseconds() + sample.latencyNanoseconds() >= from * NANOSECONDS_PER_MILLISECOND
                        && sample.dueNanoseconds() + sample.latencyNanoseconds() < until * NANOSECONDS_PER_MILLISECOND);
    }

    int count() {
        return all.size();
    }

    /** Returns the number of these samples as a percentage of the others; 0 when there are no others. */
    double percentOf(TrafficSamples others) {
        return others.count() == 0 ? 0 : 100.0 * count() / others.count();
    }

    /** Returns a percentile of the latencies, in milliseconds; 0 when there is no request. */
    double latencyPercentile(double percent) {
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        all.forEach(sample -> histogram.recordValue(sample.latencyNanoseconds()));
        return histogram.getValueAtPercentile(percent) / NANOSECONDS_PER_MILLISECOND;
    }
}
