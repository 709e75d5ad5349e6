package org.oleanderturn.node;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Returns the milliseconds since the epoch, read once at the start and advanced by the JVM's monotonic clock, so that the
 * time never goes back.
 *
 * <p>Immutable and thread safe.
 */
final class MonotonicClock implements LongSupplier {
    private final long startMilliseconds;
    private final long startNanoseconds;

    private MonotonicClock(long startMilliseconds, long startNanoseconds) {
        this.startMilliseconds = startMilliseconds;
        this.startNanoseconds = startNanoseconds;
    }

    static MonotonicClock start() {
        return new MonotonicClock(System.currentTimeMillis(), System.nanoTime());
    }

    @Override
    public long getAsLong() {
        return startMilliseconds + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanoseconds);
    }
}
