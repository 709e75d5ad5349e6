package org.oleanderturn.proxy;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import org.oleanderturn.traffic.CrashQuarantine;
import org.oleanderturn.traffic.Fingerprint;
import org.oleanderturn.traffic.Permit;
import org.oleanderturn.traffic.RunOutcome;

/**
 * The execution of one request by the local target, which holds one of its concurrency slots.
 *
 * <p>Invariant: the slot is released exactly once. Thread safe.
 */
final class TargetExecution {
    private final Permit permit;
    private final CrashQuarantine quarantine;
    private final CrashQuarantine.Run run;
    private final AtomicBoolean isOpen = new AtomicBoolean(true);

    private TargetExecution(Permit permit, CrashQuarantine quarantine, CrashQuarantine.Run run) {
        this.permit = permit;
        this.quarantine = quarantine;
        this.run = run;
    }

    static TargetExecution begin(
            Fingerprint fingerprint, boolean isExclusive, Permit permit, CrashQuarantine quarantine) {
        Objects.requireNonNull(permit, "permit is null");
        Objects.requireNonNull(quarantine, "quarantine is null");
        return new TargetExecution(permit, quarantine, quarantine.begin(fingerprint, isExclusive));
    }

    /** Releases the slot and reports the outcome to the quarantine; later calls have no effect. */
    void end(RunOutcome outcome) {
        if (!isOpen.compareAndSet(true, false)) {
            return;
        }
        switch (outcome) {
            case SUCCEEDED, FAILED, SHED -> quarantine.complete(run);
            case CANCELLED, TARGET_CRASHED -> quarantine.abandon(run);
        }
        permit.release(outcome);
    }
}
