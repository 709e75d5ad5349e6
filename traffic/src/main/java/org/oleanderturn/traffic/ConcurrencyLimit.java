package org.oleanderturn.traffic;

import java.util.concurrent.atomic.AtomicReference;

/**
 * How many requests may run at once on a target: its slots at most, fewer while it sheds.
 *
 * <p>A target that sheds a request shows how many it can carry; from there concurrency grows by one for each round of
 * answers. Latency is left out: it can't tell a target that suffers from its load from one with a slow neighbour.
 * Invariant: from one to the slots. Thread safe, without locks.
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

    /** Learns from one answer, given how many requests were in flight with it. */
    void observe(AdmissionLimits limits, int inFlight, RunOutcome completion) {
        switch (completion) {
            case SHED -> limit.updateAndGet(held -> Math.max(1, Math.min(held, inFlight - 1)));
            case SUCCEEDED -> limit.updateAndGet(held -> increased(held, limits.slots(), inFlight));
            case FAILED, CANCELLED, TARGET_CRASHED -> {}
        }
    }

    private static double increased(double held, int slots, int inFlight) {
        boolean isUsed = inFlight * 2 >= held;
        return isUsed ? Math.min(slots, held + 1 / held) : held;
    }
}
