package org.oleanderturn.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A budget of calls per second with a burst.
 *
 * <p>Invariant: within any span of s seconds at most {@code burst + rate * s} calls are admitted, calls that pass in
 * any case left out. Thread safe by one atomic, the time until which the budget is spent.
 */
final class CallRateLimiter {
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000;

    private final long nanosecondsPerCall;
    private final long burstNanoseconds;
    private final AtomicLong theoreticalArrivalNanoseconds;

    private CallRateLimiter(int callsPerSecond, int burst, long nowNanoseconds) {
        this.nanosecondsPerCall = NANOSECONDS_PER_SECOND / callsPerSecond;
        this.burstNanoseconds = nanosecondsPerCall * burst;
        this.theoreticalArrivalNanoseconds = new AtomicLong(nowNanoseconds);
    }

    static CallRateLimiter of(int callsPerSecond, int burst, long nowNanoseconds) {
        if (callsPerSecond < 1 || callsPerSecond > NANOSECONDS_PER_SECOND) {
            throw new IllegalArgumentException("callsPerSecond is out of range: " + callsPerSecond);
        }
        if (burst < 1) {
            throw new IllegalArgumentException("burst is below 1: " + burst);
        }
        return new CallRateLimiter(callsPerSecond, burst, nowNanoseconds);
    }

    /** Takes one call; when the budget is spent, takes nothing and answers when to come back. */
    Optional<Duration> tryAcquire(long nowNanoseconds) {
        while (true) {
            long spent = theoreticalArrivalNanoseconds.get();
            long next = Math.max(spent, nowNanoseconds) + nanosecondsPerCall;
            long over = next - nowNanoseconds - burstNanoseconds;
            if (over > 0) {
                return Optional.of(Duration.ofNanos(over));
            }
            if (theoreticalArrivalNanoseconds.compareAndSet(spent, next)) {
                return Optional.empty();
            }
        }
    }

    /** Takes one call in any case; later calls wait for it. */
    void acquireUnconditionally(long nowNanoseconds) {
        theoreticalArrivalNanoseconds.updateAndGet(spent -> Math.max(spent, nowNanoseconds) + nanosecondsPerCall);
    }
}
