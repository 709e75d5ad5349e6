package org.oleanderturn.traffic;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Permission to run one request on the local target.
 *
 * <p>Invariant: only the first release counts. Thread safe.
 */
public final class Permit {
    private final AdmissionController admission;
    private final AdmissionRequest request;
    private final long admittedNanoseconds;
    private final AtomicBoolean isReleased = new AtomicBoolean();

    private Permit(AdmissionController admission, AdmissionRequest request, long admittedNanoseconds) {
        this.admission = admission;
        this.request = request;
        this.admittedNanoseconds = admittedNanoseconds;
    }

    static Permit of(AdmissionController admission, AdmissionRequest request, long admittedNanoseconds) {
        return new Permit(admission, request, admittedNanoseconds);
    }

    /** Frees the slot. */
    public void release(RunOutcome completion) {
        Objects.requireNonNull(completion, "completion is null");
        if (isReleased.compareAndSet(false, true)) {
            admission.release(this, completion);
        }
    }

    /**
     * Lets other requests run beside an exclusive one; to be called at its first response byte. No effect on a shared
     * request.
     */
    public void endExclusivity() {
        if (request.isExclusive()) {
            admission.endExclusivity(this);
        }
    }

    /** Returns the request that runs under this permit. */
    public AdmissionRequest request() {
        return request;
    }

    long admittedNanoseconds() {
        return admittedNanoseconds;
    }
}
