package org.oleanderturn.testbed;

import java.util.List;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/**
 * What became of the requests of a load.
 *
 * <p>Immutable and thread safe.
 */
record TrafficSamples(List<TrafficSample> all) {
    private static final int DIGITS = 3;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    TrafficSamples {
        all = List.copyOf(all);
    }

    TrafficSamples only(Predicate<TrafficSample> wanted) {
        return new TrafficSamples(all.stream().filter(wanted).toList());
    }

    TrafficSamples only(TrafficSample.Kind kind) {
        return only(sample -> sample.kind() == kind);
    }

    TrafficSamples answeredWithin(double milliseconds) {
        return only(sample -> sample.kind() == TrafficSample.Kind.ANSWERED
                && sample.tookNanoseconds() <= milliseconds * NANOSECONDS_PER_MILLISECOND);
    }

    /** Returns these with at least a given time for each request that was not answered. */
    TrafficSamples withUnansweredAtLeast(double milliseconds) {
        long least = (long) (milliseconds * NANOSECONDS_PER_MILLISECOND);
        return new TrafficSamples(all.stream()
                .map(sample -> sample.kind() == TrafficSample.Kind.ANSWERED
                        ? sample
                        : new TrafficSample(
                                sample.dueNanoseconds(), Math.max(least, sample.tookNanoseconds()), sample.kind()))
                .toList());
    }

    /** Returns those that were due in a span of the load, in milliseconds from its start. */
    TrafficSamples dueBetween(double from, double until) {
        return only(sample -> sample.dueNanoseconds() >= from * NANOSECONDS_PER_MILLISECOND
                && sample.dueNanoseconds() < until * NANOSECONDS_PER_MILLISECOND);
    }

    /** Returns those that ended in a span of the load, in milliseconds from its start. */
    TrafficSamples endedBetween(double from, double until) {
        return only(sample -> sample.dueNanoseconds() + sample.tookNanoseconds() >= from * NANOSECONDS_PER_MILLISECOND
                && sample.dueNanoseconds() + sample.tookNanoseconds() < until * NANOSECONDS_PER_MILLISECOND);
    }

    int count() {
        return all.size();
    }

    /** Returns these as a share of others, in percent. */
    double percentOf(TrafficSamples others) {
        return others.count() == 0 ? 0 : 100.0 * count() / others.count();
    }

    /** Returns a percentile of the times, in milliseconds; 0 when there is no request. */
    double percentile(double percent) {
        Histogram histogram = new Histogram(DIGITS);
        all.forEach(sample -> histogram.recordValue(sample.tookNanoseconds()));
        return histogram.getValueAtPercentile(percent) / NANOSECONDS_PER_MILLISECOND;
    }
}
