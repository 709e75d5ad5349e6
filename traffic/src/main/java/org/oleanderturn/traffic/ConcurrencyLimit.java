package org.oleanderturn.traffic;

import java.util.concurrent.atomic.AtomicReference;

/**
 * How many requests may run at once on a target: its slots at most, fewer while it sheds or slows down.
 *
 * <p>Grows by one for each round of answers, shrinks by a share when the target sheds or when answers take several times
 * as long as they do at their best. Invariant: from one to the slots. Thread safe, without locks.
 */
final class ConcurrencyLimit {
    private static final double SHED_FACTOR = 0.7;
    private static final double SLOW_FACTOR = 0.9;
    private static final double SLOW_RATIO = 2.5;
    private static final double SMOOTHING = 0.05;
    private static final double BASELINE_RISE = 0.002;
    private static final long SHRINK_PAUSE_NANOSECONDS = 50_000_000;

    private final AtomicReference<State> state;

    private ConcurrencyLimit(int slots) {
        this.state = new AtomicReference<>(new State(slots, 0, 0, Long.MIN_VALUE));
    }

    static ConcurrencyLimit of(int slots) {
        return new ConcurrencyLimit(slots);
    }

    int current(AdmissionLimits limits) {
        if (!limits.isAdaptive()) {
            return limits.slots();
        }
        return (int) Math.max(1, Math.min(limits.slots(), Math.floor(state.get().limit())));
    }

    void observe(AdmissionLimits limits, int inFlight, Completion completion, long latency, long now) {
        state.updateAndGet(held -> held.after(limits.slots(), inFlight, completion, latency, now));
    }

    private record State(double limit, double smoothed, double baseline, long shrunkNanoseconds) {

        State after(int slots, int inFlight, Completion completion, long latency, long now) {
            if (completion == Completion.SHED) {
                return shrink(SHED_FACTOR, now);
            }
            if (!completion.isTimed()) {
                return this;
            }
            State timed = withLatency(latency);
            if (timed.smoothed > timed.baseline * SLOW_RATIO) {
                return timed.shrink(SLOW_FACTOR, now);
            }
            if (inFlight * 2 < timed.limit) {
                return timed;
            }
            double grown = Math.min(slots, timed.limit + 1 / timed.limit);
            return new State(grown, timed.smoothed, timed.baseline, timed.shrunkNanoseconds);
        }

        private State withLatency(long latency) {
            if (baseline == 0) {
                return new State(limit, latency, latency, shrunkNanoseconds);
            }
            double next = smoothed + SMOOTHING * (latency - smoothed);
            double best = next < baseline ? next : baseline + BASELINE_RISE * (next - baseline);
            return new State(limit, next, best, shrunkNanoseconds);
        }

        private State shrink(double factor, long now) {
            boolean isTooSoon =
                    shrunkNanoseconds != Long.MIN_VALUE && now - shrunkNanoseconds < SHRINK_PAUSE_NANOSECONDS;
            return isTooSoon ? this : new State(Math.max(1, limit * factor), smoothed, baseline, now);
        }
    }
}
