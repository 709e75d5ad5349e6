package org.oleanderturn.claims;

import java.util.concurrent.atomic.AtomicReference;

/**
 * The exclusive permission to run one booking once.
 *
 * <p>Invariant: a handle is started at most once, settled at most once, and never started after it was settled. Thread
 * safe.
 */
public final class ClaimHandle {
    private enum Phase {
        GRANTED,
        STARTED,
        SETTLED
    }

    private final IdempotencyKey key;
    private final ClaimRecord record;
    private final long revision;
    private final long startBeforeMilliseconds;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.GRANTED);

    private ClaimHandle(IdempotencyKey key, ClaimRecord record, long revision, long startBeforeMilliseconds) {
        this.key = key;
        this.record = record;
        this.revision = revision;
        this.startBeforeMilliseconds = startBeforeMilliseconds;
    }

    static ClaimHandle of(IdempotencyKey key, ClaimRecord record, long revision, long startBeforeMilliseconds) {
        return new ClaimHandle(key, record, revision, startBeforeMilliseconds);
    }

    // -- queries

    /** Returns the claimed key. */
    public IdempotencyKey key() {
        return key;
    }

    /** Returns the token of the attempt that holds the claim. */
    public ClaimToken token() {
        return record.token();
    }

    ClaimRecord record() {
        return record;
    }

    long revision() {
        return revision;
    }

    // -- commands

    boolean start(long nowMilliseconds) {
        return nowMilliseconds < startBeforeMilliseconds && phase.compareAndSet(Phase.GRANTED, Phase.STARTED);
    }

    boolean settle() {
        return phase.getAndSet(Phase.SETTLED) != Phase.SETTLED;
    }

    boolean settleIfStarted() {
        return phase.compareAndSet(Phase.STARTED, Phase.SETTLED);
    }
}
