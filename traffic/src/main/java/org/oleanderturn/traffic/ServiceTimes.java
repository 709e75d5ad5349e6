package org.oleanderturn.traffic;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Exponential moving averages of the service times of short and of long-running requests, in nanoseconds.
 *
 * <p>Invariant: an average is zero until its first sample. Thread safe, without locks.
 */
final class ServiceTimes {
    private static final int SMOOTHING_SHIFT = 3;

    private final AtomicLong shortNanoseconds = new AtomicLong();
    private final AtomicLong longRunningNanoseconds = new AtomicLong();

    private ServiceTimes() {}

    static ServiceTimes empty() {
        return new ServiceTimes();
    }

    void observe(boolean isLongRunning, long nanoseconds) {
        AtomicLong average = isLongRunning ? longRunningNanoseconds : shortNanoseconds;
        average.getAndUpdate(
                current -> current == 0 ? nanoseconds : current + ((nanoseconds - current) >> SMOOTHING_SHIFT));
    }

    long averageNanoseconds(boolean isLongRunning) {
        return isLongRunning ? longRunningNanoseconds.get() : shortNanoseconds.get();
    }
}
