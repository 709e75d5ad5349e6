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
    private static final Duration BASE_BACKOFF = Duration.ofMillis(5);
    private static final Duration MAXIMUM_BACKOFF = Duration.ofMillis(200);
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);
    private static final int MAXIMUM_DOUBLINGS = 8;

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
        Duration pause = backoff(state, outcome);
        boolean isRetry = isRetryable(state, outcome) && isWithinLimits(state, pause) && budget.tryWithdraw();
        if (isRetry) {
            return new RetryDecision.Retry(pause, state.isSuspect() || state.crashedTargets() > 0);
        }
        return new RetryDecision.GiveUp(localReply(state, outcome));
    }

    /** Returns the answer for a request that is given up with this outcome of its last attempt. */
    public LocalReply localReply(RetryState state, AttemptOutcome outcome) {
        return switch (outcome) {
            case AttemptOutcome.Cancelled cancelled -> LocalReply.of(LocalReply.Status.CANCELLED);
            case AttemptOutcome.ResponseTruncated started -> LocalReply.of(LocalReply.Status.TRUNCATED);
            case AttemptOutcome.NotRun notRun ->
                refusalReply(
                        state.mayHaveRun() ? LocalReply.Status.OUTCOME_UNKNOWN : LocalReply.Status.NOT_RUN,
                        notRun.retryAfter());
            case AttemptOutcome.Failed failed -> replyWithDefaultDelay(LocalReply.Status.FAILED);
            case AttemptOutcome.TargetCrashed died -> replyWithDefaultDelay(LocalReply.Status.OUTCOME_UNKNOWN);
            case AttemptOutcome.Unknown unknown -> replyWithDefaultDelay(LocalReply.Status.OUTCOME_UNKNOWN);
            case AttemptOutcome.Succeeded succeeded ->
                throw new IllegalArgumentException("a success is delivered, not given up");
        };
    }

    private LocalReply refusalReply(LocalReply.Status status, Duration retryAfter) {
        return retryAfter.isPositive() ? LocalReply.of(status, retryAfter) : replyWithDefaultDelay(status);
    }

    private LocalReply replyWithDefaultDelay(LocalReply.Status status) {
        return LocalReply.of(status, RetryAfter.jittered(random, DEFAULT_RETRY_AFTER));
    }

    private static boolean isRetryable(RetryState state, AttemptOutcome outcome) {
        return switch (outcome) {
            case AttemptOutcome.NotRun notRun -> notRun.reason().isRetryableElsewhere();
            case AttemptOutcome.TargetCrashed died ->
                state.kind().isIdempotent() && state.crashedTargets() <= 1 && !state.isSuspect();
            case AttemptOutcome.Failed failed -> state.kind().isIdempotent();
            case AttemptOutcome.Unknown unknown -> state.kind().isIdempotent();
            case AttemptOutcome.ResponseTruncated started -> false;
            case AttemptOutcome.Cancelled cancelled -> false;
            case AttemptOutcome.Succeeded succeeded -> false;
        };
    }

    private static boolean isWithinLimits(RetryState state, Duration pause) {
        return state.attemptsSent() < state.maximumAttempts()
                && !state.allowance().isEmpty()
                && state.remaining().compareTo(pause) > 0;
    }

    private Duration backoff(RetryState state, AttemptOutcome outcome) {
        if (outcome instanceof AttemptOutcome.NotRun) {
            return Duration.ZERO;
        }
        int doubling = Math.min(MAXIMUM_DOUBLINGS, Math.max(0, state.attemptsSent() - 1));
        Duration grown = BASE_BACKOFF.multipliedBy(1L << doubling);
        Duration bounded = grown.compareTo(MAXIMUM_BACKOFF) > 0 ? MAXIMUM_BACKOFF : grown;
        return Duration.ofNanos(Math.round(bounded.toNanos() * (0.5 + random.nextDouble() / 2)));
    }
}
