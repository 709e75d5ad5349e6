package org.oleanderturn.traffic;

import java.util.concurrent.CompletableFuture;

/**
 * A place in the guard's queue.
 *
 * <p>Invariant: settled exactly once, at the latest by the first {@link AdmissionController#expire()} after the deadline. Thread
 * safe.
 */
public final class AdmissionTicket {
    private final AdmissionController admission;
    private final AdmissionRequest request;
    private final long queueDeadlineNanoseconds;
    private final CompletableFuture<AdmissionDecision.Settled> decision = new CompletableFuture<>();

    private AdmissionTicket(AdmissionController admission, AdmissionRequest work, long patienceNanoseconds) {
        this.admission = admission;
        this.request = work;
        this.queueDeadlineNanoseconds = patienceNanoseconds;
    }

    static AdmissionTicket of(AdmissionController admission, AdmissionRequest work, long patienceNanoseconds) {
        return new AdmissionTicket(admission, work, patienceNanoseconds);
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

    /** Returns the moment on the admission's clock at which waiting ends: call {@link AdmissionController#expire()} then. */
    public long queueDeadlineNanoseconds() {
        return queueDeadlineNanoseconds;
    }

    AdmissionRequest request() {
        return request;
    }
}
