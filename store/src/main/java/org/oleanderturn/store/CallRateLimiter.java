package org.oleanderturn.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits calls to a rate with bursts, by the generic cell rate algorithm (GCRA).
 *
 * <p>Invariant: within any s seconds at most {@code burst + rate * s} calls are admitted, not counting those that are
 * admitted unconditionally. Thread safe: the only state is one atomic, the theoretical arrival time of the next call.
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

    /** Admits one call and returns empty; over the limit, admits nothing and returns how long to wait. */
    Optional<Duration> tryAcquire(long nowNanoseconds) {
        while (true) {
            long arrival = theoreticalArrivalNanoseconds.get();
            long next = Math.max(arrival, nowNanoseconds) + nanosecondsPerCall;
            long wait = next - nowNanoseconds - burstNanoseconds;
            if (wait > 0) {
                return Optional.of(Duration.ofNanos(wait));
            }
            if (theoreticalArrivalNanoseconds.compareAndSet(arrival, next)) {
                return Optional.empty();
            }
        }
    }

    /** Admits one call even over the limit; later calls wait for it. */
    void acquireUnconditionally(long nowNanoseconds) {
        theoreticalArrivalNanoseconds.updateAndGet(arrival -> Math.max(arrival, nowNanoseconds) + nanosecondsPerCall);
    }
}
