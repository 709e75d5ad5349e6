package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** A clock in nanoseconds that moves only when told to. Thread safe. */
final class FakeClock implements LongSupplier {
    private final AtomicLong now = new AtomicLong(1_000_000_000L);

    @Override
    public long getAsLong() {
        return now.get();
    }

    void advance(Duration span) {
        now.addAndGet(span.toNanos());
    }

    long in(Duration span) {
        return now.get() + span.toNanos();
    }

    LongSupplier milliseconds() {
        return () -> now.get() / 1_000_000L;
    }
}
