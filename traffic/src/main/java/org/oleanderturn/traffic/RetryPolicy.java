package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Decides, after the last attempt out has ended, whether the request is sent again or its caller is answered.
 *
 * <p>Invariants: a request that may have run is sent again only when it is idempotent; nothing is sent again after the
 * first answer byte; a request is sent again at most once after a target died running it, and then as a suspect; an
 * answer never says "not run" when any attempt may have run; the decision to give up carries the answer, which is given
 * at once. Thread safe when the random generator is.
 */
public final class RetryPolicy {
    private static final Duration PAUSE_BASE = Duration.ofMillis(5);
    private static final Duration PAUSE_LONGEST = Duration.ofMillis(200);
    private static final Duration COME_BACK = Duration.ofSeconds(1);
    private static final int LARGEST_DOUBLING = 8;

    private final RandomGenerator random;

    private RetryPolicy(RandomGenerator random) {
        this.random = random;
    }

    /** Returns a policy that draws its pauses from the given generator. */
    public static RetryPolicy of(RandomGenerator random) {
        Objects.requireNonNull(random, "random is null");
        return new RetryPolicy(random);
    }

    /** Decides; a retry is taken out of the budget. */
    public RetryDecision decide(RetryState state, AttemptOutcome outcome, RetryBudget budget) {
        Objects.requireNonNull(state, "state is null");
        Objects.requireNonNull(outcome, "outcome is null");
        Objects.requireNonNull(budget, "budget is null");
        if (outcome instanceof AttemptOutcome.Succeeded) {
            return new RetryDecision.Deliver();
        }
        Duration pause = pause(state, outcome);
        boolean isRetry = isRepeatable(state, outcome) && hasRoom(state, pause) && budget.tryWithdraw();
        if (isRetry) {
            return new RetryDecision.Retry(pause, state.isSuspect() || state.deaths() > 0);
        }
        return new RetryDecision.GiveUp(finalAnswer(state, outcome));
    }

    /** Returns the answer for a request that is given up with this outcome of its last attempt. */
    public FinalAnswer finalAnswer(RetryState state, AttemptOutcome outcome) {
        return switch (outcome) {
            case AttemptOutcome.Cancelled cancelled -> FinalAnswer.of(FinalAnswer.Status.CANCELLED);
            case AttemptOutcome.AnswerStarted started -> FinalAnswer.of(FinalAnswer.Status.TRUNCATED);
            case AttemptOutcome.NotRun notRun ->
                refused(
                        state.isPossiblyRun() ? FinalAnswer.Status.OUTCOME_UNKNOWN : FinalAnswer.Status.NOT_RUN,
                        notRun.retryAfter());
            case AttemptOutcome.Failed failed -> comeBack(FinalAnswer.Status.FAILED);
            case AttemptOutcome.TargetDied died -> comeBack(FinalAnswer.Status.OUTCOME_UNKNOWN);
            case AttemptOutcome.Unknown unknown -> comeBack(FinalAnswer.Status.OUTCOME_UNKNOWN);
            case AttemptOutcome.Succeeded succeeded ->
                throw new IllegalArgumentException("a success is delivered, not given up");
        };
    }

    private FinalAnswer refused(FinalAnswer.Status status, Duration retryAfter) {
        return retryAfter.isPositive() ? FinalAnswer.of(status, retryAfter) : comeBack(status);
    }

    private FinalAnswer comeBack(FinalAnswer.Status status) {
        return FinalAnswer.of(status, RetryAfter.jittered(random, COME_BACK));
    }

    private static boolean isRepeatable(RetryState state, AttemptOutcome outcome) {
        return switch (outcome) {
            case AttemptOutcome.NotRun notRun -> notRun.reason().isWorthAnotherEndpoint();
            case AttemptOutcome.TargetDied died ->
                state.kind().isIdempotent() && state.deaths() <= 1 && !state.isSuspect();
            case AttemptOutcome.Failed failed -> state.kind().isIdempotent();
            case AttemptOutcome.Unknown unknown -> state.kind().isIdempotent();
            case AttemptOutcome.AnswerStarted started -> false;
            case AttemptOutcome.Cancelled cancelled -> false;
            case AttemptOutcome.Succeeded succeeded -> false;
        };
    }

    private static boolean hasRoom(RetryState state, Duration pause) {
        return state.attempts() < state.maximumAttempts()
                && !state.allowance().isEmpty()
                && state.remaining().compareTo(pause) > 0;
    }

    private Duration pause(RetryState state, AttemptOutcome outcome) {
        if (outcome instanceof AttemptOutcome.NotRun) {
            return Duration.ZERO;
        }
        int doubling = Math.min(LARGEST_DOUBLING, Math.max(0, state.attempts() - 1));
        Duration grown = PAUSE_BASE.multipliedBy(1L << doubling);
        Duration bounded = grown.compareTo(PAUSE_LONGEST) > 0 ? PAUSE_LONGEST : grown;
        return Duration.ofNanos(Math.round(bounded.toNanos() * (0.5 + random.nextDouble() / 2)));
    }
}
