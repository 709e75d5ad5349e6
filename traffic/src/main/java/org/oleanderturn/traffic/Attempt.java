package org.oleanderturn.traffic;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An outstanding attempt of a request at an upstream.
 *
 * <p>Invariant: only the first finish counts. Thread safe.
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

    /** Returns the nanoseconds until the first response byte, or until now if there is none yet; one or more. */
    long latency(long now) {
        long firstByte = firstByteNanoseconds.get();
        return Math.max(1, (firstByte == startedNanoseconds ? now : firstByte) - startedNanoseconds);
    }
}
