package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Measures how late a process gets its core, by how late a periodic task of its own is woken.
 *
 * <p>What arrives waits about as long for the core as the task does, and nothing else tells how long a request waited before
 * it was read. Thread safe.
 */
public final class CoreLag {
    /** When the task expects to be woken, and how late it was the last time. */
    private record Measurement(long dueNanoseconds, long lateNanoseconds) {}

    private final LongSupplier nanoseconds;
    private volatile Measurement last;

    private CoreLag(LongSupplier nanoseconds) {
        this.nanoseconds = nanoseconds;
        this.last = new Measurement(Long.MAX_VALUE, 0);
    }

    /** Returns a measurement without lag; the clock is in nanoseconds. */
    public static CoreLag of(LongSupplier nanoseconds) {
        return new CoreLag(Objects.requireNonNull(nanoseconds, "nanoseconds is null"));
    }

    // -- queries

    /** Returns how late the core is now: as late as the last time, or later if the task should have been woken by now. */
    public Duration current() {
        Measurement measurement = last;
        long overdue = measurement.dueNanoseconds() == Long.MAX_VALUE
                ? 0
                : nanoseconds.getAsLong() - measurement.dueNanoseconds();
        return Duration.ofNanos(Math.max(measurement.lateNanoseconds(), overdue));
    }

    // -- commands

    /** Records that the task is going to wait for the given time. */
    public void recordWait(Duration wait) {
        last = new Measurement(nanoseconds.getAsLong() + wait.toNanos(), last.lateNanoseconds());
    }

    /** Records that the task has been woken. */
    public void recordWake() {
        long late = Math.max(0, nanoseconds.getAsLong() - last.dueNanoseconds());
        last = new Measurement(Long.MAX_VALUE, late);
    }
}
