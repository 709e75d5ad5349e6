package org.oleanderturn.traffic;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Adaptive limit on the requests in flight at a target, at most its slots.
 *
 * <p>A shed request shows how many the target can handle, and lowers the limit below the number in flight; from
 * there, each round of responses raises it by one. Latency is not an input: it cannot tell a target that is
 * overloaded from one that is slowed by another process on its host. Invariant: between one and the slots. Thread
 * safe, without locks.
 */
final class ConcurrencyLimit {
    private final AtomicReference<Double> limit;

    private ConcurrencyLimit(int slots) {
        this.limit = new AtomicReference<>((double) slots);
    }

    static ConcurrencyLimit of(int slots) {
        return new ConcurrencyLimit(slots);
    }

    int current(AdmissionLimits limits) {
        if (!limits.isAdaptive()) {
            return limits.slots();
        }
        return (int) Math.max(1, Math.min(limits.slots(), Math.floor(limit.get())));
    }

    /** Adjusts the limit to the outcome of one request. */
    void observe(AdmissionLimits limits, int inFlight, RunOutcome outcome) {
        switch (outcome) {
            case SHED -> limit.updateAndGet(current -> Math.max(1, Math.min(current, inFlight - 1)));
            case SUCCEEDED -> limit.updateAndGet(current -> increased(current, limits.slots(), inFlight));
            case FAILED, CANCELLED, TARGET_CRASHED -> {}
        }
    }

    private static double increased(double current, int slots, int inFlight) {
        boolean isLimitUsed = inFlight * 2 >= current;
        return isLimitUsed ? Math.min(slots, current + 1 / current) : current;
    }
}
