package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Decides when a node writes a large response, so that small ones don't wait behind it on the node's link.
 *
 * <p>Large responses are written one after another, each when the link has had time to carry those before it; small ones are
 * written at once. Invariant: large responses take no more than their share of the link. Thread safe.
 */
public final class LinkSchedule {
    /** Responses up to this size, in bytes, are written at once: they take a few milliseconds of the slowest links. */
    private static final int SMALL_BYTES = 16_000;

    /** The share of the link that large responses take; the rest carries small ones, requests and control messages. */
    private static final double LARGE_SHARE = 0.8;

    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT = 1e6;

    private final double nanosecondsPerByte;
    private final LongSupplier nanoseconds;
    private final AtomicLong freeNanoseconds;

    private LinkSchedule(double nanosecondsPerByte, LongSupplier nanoseconds) {
        this.nanosecondsPerByte = nanosecondsPerByte;
        this.nanoseconds = nanoseconds;
        this.freeNanoseconds = new AtomicLong(nanoseconds.getAsLong());
    }

    /** Returns the schedule of an idle link; the clock is in nanoseconds. */
    public static LinkSchedule of(double megabitsPerSecond, LongSupplier nanoseconds) {
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        double bytesPerSecond = megabitsPerSecond * BITS_PER_MEGABIT / BITS_PER_BYTE * LARGE_SHARE;
        return new LinkSchedule(TimeUnit.SECONDS.toNanos(1) / bytesPerSecond, nanoseconds);
    }

    /** Returns the schedule of a link whose rate is unknown, on which nothing waits; the clock is in nanoseconds. */
    public static LinkSchedule unlimited(LongSupplier nanoseconds) {
        return new LinkSchedule(0, Objects.requireNonNull(nanoseconds, "nanoseconds is null"));
    }

    // -- queries

    /** Returns how long a large response would wait now. */
    public Duration backlog() {
        return Duration.ofNanos(Math.max(0, freeNanoseconds.get() - nanoseconds.getAsLong()));
    }

    // -- commands

    /** Takes the link for a response of a size in bytes; returns how long to wait before it is written. */
    public Duration reserve(long bytes) {
        if (bytes <= SMALL_BYTES) {
            return Duration.ZERO;
        }
        long now = nanoseconds.getAsLong();
        long duration = Math.round(bytes * nanosecondsPerByte);
        long begin = freeNanoseconds.getAndUpdate(free -> Math.max(now, free) + duration);
        return Duration.ofNanos(Math.max(0, begin - now));
    }
}
