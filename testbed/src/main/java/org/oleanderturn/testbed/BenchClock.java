package org.oleanderturn.testbed;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Waits in experiments.
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

    /** Waits; an interrupt ends the wait early and stays set. */
    static void pause(double milliseconds) {
        long end = System.nanoTime() + (long) (milliseconds * NANOSECONDS_PER_MILLISECOND);
        long left = end - System.nanoTime();
        while (left > 0 && !Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos(left);
            left = end - System.nanoTime();
        }
    }

    /** Waits until something holds; returns whether it did in time. */
    static boolean await(long longestMilliseconds, BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(longestMilliseconds);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            pause(POLL_MILLISECONDS);
        }
        return true;
    }
}
