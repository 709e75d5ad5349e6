package org.oleanderturn.traffic;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Moving averages of how long short and long work holds a slot, in nanoseconds.
 *
 * <p>Invariant: zero until the first observation. Thread safe, without locks.
 */
final class ServiceTimes {
    private static final int SMOOTHING_SHIFT = 3;

    private final AtomicLong shortNanoseconds = new AtomicLong();
    private final AtomicLong longRunningNanoseconds = new AtomicLong();

    private ServiceTimes() {}

    static ServiceTimes empty() {
        return new ServiceTimes();
    }

    void observe(boolean isLong, long nanoseconds) {
        AtomicLong average = isLong ? longRunningNanoseconds : shortNanoseconds;
        average.getAndUpdate(held -> held == 0 ? nanoseconds : held + ((nanoseconds - held) >> SMOOTHING_SHIFT));
    }

    long averageNanoseconds(boolean isLong) {
        return isLong ? longRunningNanoseconds.get() : shortNanoseconds.get();
    }
}
