package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

/**
 * Estimates percentiles of recent latencies.
 *
 * <p>Two rotating histograms of ten seconds with eight buckets for each power of two, so an estimate is at most an
 * eighth above the true value. Thread safe, without locks.
 */
final class LatencyHistogram {
    private static final long WINDOW_NANOSECONDS = 10_000_000_000L;
    private static final long ESTIMATE_LIFETIME_NANOSECONDS = 100_000_000L;
    private static final int MINIMUM_SAMPLES = 50;
    private static final int PERCENT = 100;
    private static final int PRECISION_BITS = 3;
    private static final int BUCKETS = (Long.SIZE - PRECISION_BITS) << PRECISION_BITS;

    private final LongSupplier nanoseconds;
    private final AtomicReference<Windows> windows;
    private final AtomicReference<Estimate> estimate;

    private LatencyHistogram(LongSupplier nanoseconds) {
        long now = nanoseconds.getAsLong();
        this.nanoseconds = nanoseconds;
        this.windows = new AtomicReference<>(new Windows(now, Counts.empty(), Counts.empty()));
        this.estimate = new AtomicReference<>(new Estimate(0, now, Optional.empty()));
    }

    static LatencyHistogram of(LongSupplier nanoseconds) {
        return new LatencyHistogram(nanoseconds);
    }

    void record(long latencyNanoseconds) {
        rotated(nanoseconds.getAsLong()).current().add(bucket(Math.max(1, latencyNanoseconds)));
    }

    /** Returns the given percentile of the latencies; empty if there are too few samples. */
    Optional<Duration> percentile(int percent) {
        long now = nanoseconds.getAsLong();
        Estimate known = estimate.get();
        if (known.percent() == percent && now - known.computedNanoseconds() < ESTIMATE_LIFETIME_NANOSECONDS) {
            return known.latency();
        }
        Optional<Duration> estimated = compute(rotated(now), percent);
        estimate.set(new Estimate(percent, now, estimated));
        return estimated;
    }

    private Windows rotated(long now) {
        while (true) {
            Windows known = windows.get();
            long age = now - known.startedNanoseconds();
            if (age < WINDOW_NANOSECONDS) {
                return known;
            }
            Counts previous = age < 2 * WINDOW_NANOSECONDS ? known.current() : Counts.empty();
            Windows next = new Windows(now, Counts.empty(), previous);
            if (windows.compareAndSet(known, next)) {
                return next;
            }
        }
    }

    private static Optional<Duration> compute(Windows known, int percent) {
        long total =
                known.current().total().get() + (long) known.previous().total().get();
        if (total < MINIMUM_SAMPLES) {
            return Optional.empty();
        }
        long rank = (total * percent + PERCENT - 1) / PERCENT;
        long counted = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            counted += known.current().at(bucket) + known.previous().at(bucket);
            if (counted >= rank) {
                return Optional.of(Duration.ofNanos(upperBound(bucket)));
            }
        }
        return Optional.empty();
    }

    private static int bucket(long value) {
        int octave = Long.SIZE - 1 - Long.numberOfLeadingZeros(value);
        if (octave < PRECISION_BITS) {
            return (int) value;
        }
        int offset = (int) (value >>> (octave - PRECISION_BITS)) - (1 << PRECISION_BITS);
        return ((octave - PRECISION_BITS + 1) << PRECISION_BITS) + offset;
    }

    private static long upperBound(int bucket) {
        if (bucket < 1 << PRECISION_BITS) {
            return bucket;
        }
        int shift = (bucket >>> PRECISION_BITS) - 1;
        long base = (1L << PRECISION_BITS) + (bucket & ((1 << PRECISION_BITS) - 1));
        return ((base + 1) << shift) - 1;
    }

    private record Counts(AtomicIntegerArray buckets, AtomicInteger total) {

        static Counts empty() {
            return new Counts(new AtomicIntegerArray(BUCKETS), new AtomicInteger());
        }

        void add(int bucket) {
            buckets.incrementAndGet(bucket);
            total.incrementAndGet();
        }

        int at(int bucket) {
            return buckets.get(bucket);
        }
    }

    private record Windows(long startedNanoseconds, Counts current, Counts previous) {}

    private record Estimate(int percent, long computedNanoseconds, Optional<Duration> latency) {}
}
