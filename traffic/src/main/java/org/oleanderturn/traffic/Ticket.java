package org.oleanderturn.traffic;

import java.util.concurrent.CompletableFuture;

/**
 * A place in the guard's queue.
 *
 * <p>Invariant: settled exactly once, at the latest by the first {@link Admission#expire()} after the deadline. Thread
 * safe.
 */
public final class Ticket {
    private final Admission admission;
    private final Work work;
    private final long patienceNanoseconds;
    private final CompletableFuture<AdmissionDecision.Settled> decision = new CompletableFuture<>();

    private Ticket(Admission admission, Work work, long patienceNanoseconds) {
        this.admission = admission;
        this.work = work;
        this.patienceNanoseconds = patienceNanoseconds;
    }

    static Ticket of(Admission admission, Work work, long patienceNanoseconds) {
        return new Ticket(admission, work, patienceNanoseconds);
    }

    /** Returns the decision, completed when the work is admitted, refused or cancelled. */
    public CompletableFuture<AdmissionDecision.Settled> decision() {
        return decision;
    }

    /**
     * Gives the place up. When the work was admitted meanwhile, its permit comes by {@link #decision()} all the same and
     * must be released.
     */
    public void cancel() {
        admission.cancel(this);
    }

    /** Returns the moment on the admission's clock at which waiting ends: call {@link Admission#expire()} then. */
    public long patienceNanoseconds() {
        return patienceNanoseconds;
    }

    Work work() {
        return work;
    }
}
