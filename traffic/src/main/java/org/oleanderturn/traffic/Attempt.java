package org.oleanderturn.traffic;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One attempt of a request that is out at an endpoint.
 *
 * <p>Invariant: finishing twice counts once. Thread safe.
 */
public final class Attempt {
    private final Upstream upstream;
    private final long startedNanoseconds;
    private final AtomicLong firstByteNanoseconds;
    private final AtomicBoolean isFinished = new AtomicBoolean();

    private Attempt(Upstream upstream, long startedNanoseconds) {
        this.upstream = upstream;
        this.startedNanoseconds = startedNanoseconds;
        this.firstByteNanoseconds = new AtomicLong(startedNanoseconds);
    }

    static Attempt of(Upstream upstream, long startedNanoseconds) {
        return new Attempt(upstream, startedNanoseconds);
    }

    Upstream upstream() {
        return upstream;
    }

    void recordFirstByte(long now) {
        firstByteNanoseconds.compareAndSet(startedNanoseconds, now);
    }

    boolean tryFinish() {
        return isFinished.compareAndSet(false, true);
    }

    /** Returns the time to the first answer byte, or to now when no byte has come. */
    long latency(long now) {
        long answered = firstByteNanoseconds.get();
        return Math.max(1, (answered == startedNanoseconds ? now : answered) - startedNanoseconds);
    }
}
