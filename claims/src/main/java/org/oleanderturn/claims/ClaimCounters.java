package org.oleanderturn.claims;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the decisions on claims and the settlements written.
 *
 * <p>Thread safe.
 */
final class ClaimCounters {
    private final LongAdder granted = new LongAdder();
    private final LongAdder replayed = new LongAdder();
    private final LongAdder unknown = new LongAdder();
    private final LongAdder keyReused = new LongAdder();
    private final LongAdder notRun = new LongAdder();
    private final LongAdder settled = new LongAdder();

    ClaimCounts snapshot(int waiting) {
        return new ClaimCounts(
                granted.sum(), replayed.sum(), unknown.sum(), keyReused.sum(), notRun.sum(), settled.sum(), waiting);
    }

    void add(ClaimDecision decision) {
        switch (decision) {
            case ClaimDecision.Granted _ -> granted.increment();
            case ClaimDecision.AlreadyFinished _, ClaimDecision.AlreadyFinishedUnrecorded _ -> replayed.increment();
            case ClaimDecision.InProgressOrUnknown _ -> unknown.increment();
            case ClaimDecision.KeyReused _ -> keyReused.increment();
            case ClaimDecision.NotRun _ -> notRun.increment();
        }
    }

    void add(SettleOutcome outcome) {
        if (outcome instanceof SettleOutcome.Settled) {
            settled.increment();
        }
    }
}
