package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** A manual clock in nanoseconds. Thread safe. */
final class FakeClock implements LongSupplier {
    private final AtomicLong now = new AtomicLong(1_000_000_000L);

    @Override
    public long getAsLong() {
        return now.get();
    }

    void advance(Duration duration) {
        now.addAndGet(duration.toNanos());
    }

    long after(Duration duration) {
        return now.get() + duration.toNanos();
    }

    LongSupplier milliseconds() {
        return () -> now.get() / 1_000_000L;
    }
}
