package org.oleanderturn.testbed;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Reads the monotonic clock and waits, for experiments.
 *
 * <p>Thread safe.
 */
final class BenchClock {
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
    private static final long POLL_MILLISECONDS = 2;

    private BenchClock() {}

    static double nowMilliseconds() {
        return System.nanoTime() / NANOSECONDS_PER_MILLISECOND;
    }

    /** Sleeps for the given time; an interrupt ends the sleep early and the interrupt flag stays set. */
    static void pause(double milliseconds) {
        long deadline = System.nanoTime() + (long) (milliseconds * NANOSECONDS_PER_MILLISECOND);
        long remaining = deadline - System.nanoTime();
        while (remaining > 0 && !Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos(remaining);
            remaining = deadline - System.nanoTime();
        }
    }

    /** Polls until the condition is true; returns whether it became true before the timeout. */
    static boolean await(long timeoutMilliseconds, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMilliseconds);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                return false;
            }
            pause(POLL_MILLISECONDS);
        }
        return true;
    }
}
