package org.oleanderturn.traffic;

import java.util.concurrent.CompletableFuture;

/**
 * A request in the queue of an {@link AdmissionController}.
 *
 * <p>Invariant: its decision completes exactly once, at the latest in the first {@link AdmissionController#expire()}
 * after the queue deadline. Thread safe.
 */
public final class AdmissionTicket {
    private final AdmissionController admission;
    private final AdmissionRequest request;
    private final long queueDeadlineNanoseconds;
    private final CompletableFuture<AdmissionDecision.Settled> decision = new CompletableFuture<>();

    private AdmissionTicket(AdmissionController admission, AdmissionRequest request, long queueDeadlineNanoseconds) {
        this.admission = admission;
        this.request = request;
        this.queueDeadlineNanoseconds = queueDeadlineNanoseconds;
    }

    static AdmissionTicket of(AdmissionController admission, AdmissionRequest request, long queueDeadlineNanoseconds) {
        return new AdmissionTicket(admission, request, queueDeadlineNanoseconds);
    }

    /**
     * Returns the decision, which completes when the request is admitted, refused or cancelled; never exceptionally.
     */
    public CompletableFuture<AdmissionDecision.Settled> decision() {
        return decision;
    }

    /**
     * Leaves the queue. If the request was admitted meanwhile, {@link #decision()} still holds its permit, which must
     * be released.
     */
    public void cancel() {
        admission.cancel(this);
    }

    /**
     * Returns when the request leaves the queue at the latest, in nanoseconds on the controller's clock. {@link
     * AdmissionController#expire()} must be called then.
     */
    public long queueDeadlineNanoseconds() {
        return queueDeadlineNanoseconds;
    }

    AdmissionRequest request() {
        return request;
    }
}
