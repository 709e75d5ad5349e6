package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

/**
 * Estimates quantiles of the latencies of the last seconds.
 *
 * <p>Two rotating histograms with eight buckets for each doubling, so an estimate is at most an eighth above the true
 * value. Thread safe, without locks.
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

    /** Returns the latency that so many percent stay under, or none while too few were seen. */
    Optional<Duration> percentile(int percent) {
        long now = nanoseconds.getAsLong();
        Estimate held = estimate.get();
        if (held.percent() == percent && now - held.computedNanoseconds() < ESTIMATE_LIFETIME_NANOSECONDS) {
            return held.latency();
        }
        Optional<Duration> fresh = compute(rotated(now), percent);
        estimate.set(new Estimate(percent, now, fresh));
        return fresh;
    }

    private Windows rotated(long now) {
        while (true) {
            Windows held = windows.get();
            long age = now - held.startedNanoseconds();
            if (age < WINDOW_NANOSECONDS) {
                return held;
            }
            Counts earlier = age < 2 * WINDOW_NANOSECONDS ? held.current() : Counts.empty();
            Windows next = new Windows(now, Counts.empty(), earlier);
            if (windows.compareAndSet(held, next)) {
                return next;
            }
        }
    }

    private static Optional<Duration> compute(Windows held, int percent) {
        long total =
                held.current().total().get() + (long) held.previous().total().get();
        if (total < MINIMUM_SAMPLES) {
            return Optional.empty();
        }
        long wanted = (total * percent + PERCENT - 1) / PERCENT;
        long seen = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            seen += held.current().at(bucket) + held.previous().at(bucket);
            if (seen >= wanted) {
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
        int step = (int) (value >>> (octave - PRECISION_BITS)) - (1 << PRECISION_BITS);
        return ((octave - PRECISION_BITS + 1) << PRECISION_BITS) + step;
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
