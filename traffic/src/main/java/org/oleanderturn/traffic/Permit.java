package org.oleanderturn.traffic;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The right to run one request on the local target.
 *
 * <p>Invariant: releasing twice counts once. Thread safe.
 */
public final class Permit {
    private final Admission admission;
    private final Work work;
    private final long admittedNanoseconds;
    private final AtomicBoolean isReleased = new AtomicBoolean();

    private Permit(Admission admission, Work work, long admittedNanoseconds) {
        this.admission = admission;
        this.work = work;
        this.admittedNanoseconds = admittedNanoseconds;
    }

    static Permit of(Admission admission, Work work, long admittedNanoseconds) {
        return new Permit(admission, work, admittedNanoseconds);
    }

    /** Gives the slot back. */
    public void release(Completion completion) {
        Objects.requireNonNull(completion, "completion is null");
        if (isReleased.compareAndSet(false, true)) {
            admission.release(this, completion);
        }
    }

    /** Lets others run beside work that ran alone; to be called when its first answer byte has come. */
    public void share() {
        if (work.isAlone()) {
            admission.share(this);
        }
    }

    /** Returns the work that runs under this permit. */
    public Work work() {
        return work;
    }

    long admittedNanoseconds() {
        return admittedNanoseconds;
    }
}
