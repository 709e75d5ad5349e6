package org.oleanderturn.traffic;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The right to run one request on the local target.
 *
 * <p>Invariant: releasing twice counts once. Thread safe.
 */
public final class Permit {
    private final AdmissionController admission;
    private final AdmissionRequest request;
    private final long admittedNanoseconds;
    private final AtomicBoolean isReleased = new AtomicBoolean();

    private Permit(AdmissionController admission, AdmissionRequest work, long admittedNanoseconds) {
        this.admission = admission;
        this.request = work;
        this.admittedNanoseconds = admittedNanoseconds;
    }

    static Permit of(AdmissionController admission, AdmissionRequest work, long admittedNanoseconds) {
        return new Permit(admission, work, admittedNanoseconds);
    }

    /** Gives the slot back. */
    public void release(RunOutcome completion) {
        Objects.requireNonNull(completion, "completion is null");
        if (isReleased.compareAndSet(false, true)) {
            admission.release(this, completion);
        }
    }

    /** Lets others run beside work that ran alone; to be called when its first answer byte has come. */
    public void endExclusivity() {
        if (request.isExclusive()) {
            admission.endExclusivity(this);
        }
    }

    /** Returns the work that runs under this permit. */
    public AdmissionRequest request() {
        return request;
    }

    long admittedNanoseconds() {
        return admittedNanoseconds;
    }
}
