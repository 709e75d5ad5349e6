package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Decides, once the last outstanding attempt has ended, whether the request is retried or given up.
 *
 * <p>Invariants: a request that may have run is retried only if it is idempotent; nothing is retried after the first
 * response byte; after a target crashed while running it, a request is retried at most once, and as a suspect; a
 * reply never says "not run" if any attempt may have run; a decision to give up includes the reply, so that the
 * caller gets it immediately. Retries back off exponentially with jitter, except after an attempt that did not run.
 * Thread safe if the random generator is.
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

    /** Returns a policy that takes the jitter of its delays from the given generator. */
    public static RetryPolicy of(RandomGenerator random) {
        Objects.requireNonNull(random, "random is null");
        return new RetryPolicy(random);
    }

    /** Decides and withdraws a retry from the budget. */
    public RetryDecision decide(RetryState state, AttemptOutcome outcome, RetryBudget budget) {
        Objects.requireNonNull(state, "state is null");
        Objects.requireNonNull(outcome, "outcome is null");
        Objects.requireNonNull(budget, "budget is null");
        if (outcome instanceof AttemptOutcome.Succeeded) {
            return new RetryDecision.Deliver();
        }
        Duration delay = backoff(state, outcome);
        boolean isRetried = isRetryable(state, outcome) && isWithinLimits(state, delay) && budget.tryWithdraw();
        if (isRetried) {
            return new RetryDecision.Retry(delay, state.isSuspect() || state.crashedTargets() > 0);
        }
        return new RetryDecision.GiveUp(localReply(state, outcome));
    }

    /**
     * Returns the reply for a request that is given up; throws {@link IllegalArgumentException} if the last attempt
     * succeeded.
     */
    public LocalReply localReply(RetryState state, AttemptOutcome outcome) {
        return switch (outcome) {
            case AttemptOutcome.Cancelled cancelled -> LocalReply.of(LocalReply.Status.CANCELLED);
            case AttemptOutcome.ResponseTruncated truncated -> LocalReply.of(LocalReply.Status.TRUNCATED);
            case AttemptOutcome.NotRun notRun ->
                refusalReply(
                        state.mayHaveRun() ? LocalReply.Status.OUTCOME_UNKNOWN : LocalReply.Status.NOT_RUN,
                        notRun.retryAfter());
            case AttemptOutcome.Failed failed -> replyWithDefaultDelay(LocalReply.Status.FAILED);
            case AttemptOutcome.TargetCrashed crashed -> replyWithDefaultDelay(LocalReply.Status.OUTCOME_UNKNOWN);
            case AttemptOutcome.Unknown unknown -> replyWithDefaultDelay(LocalReply.Status.OUTCOME_UNKNOWN);
            case AttemptOutcome.Succeeded succeeded ->
                throw new IllegalArgumentException("a successful attempt has no local reply");
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
            case AttemptOutcome.TargetCrashed crashed ->
                state.kind().isIdempotent() && state.crashedTargets() <= 1 && !state.isSuspect();
            case AttemptOutcome.Failed failed -> state.kind().isIdempotent();
            case AttemptOutcome.Unknown unknown -> state.kind().isIdempotent();
            case AttemptOutcome.ResponseTruncated truncated -> false;
            case AttemptOutcome.Cancelled cancelled -> false;
            case AttemptOutcome.Succeeded succeeded -> false;
        };
    }

    private static boolean isWithinLimits(RetryState state, Duration delay) {
        return state.attemptsSent() < state.maximumAttempts()
                && !state.allowance().isEmpty()
                && state.remaining().compareTo(delay) > 0;
    }

    private Duration backoff(RetryState state, AttemptOutcome outcome) {
        if (outcome instanceof AttemptOutcome.NotRun) {
            return Duration.ZERO;
        }
        int doublings = Math.min(MAXIMUM_DOUBLINGS, Math.max(0, state.attemptsSent() - 1));
        Duration exponential = BASE_BACKOFF.multipliedBy(1L << doublings);
        Duration bounded = exponential.compareTo(MAXIMUM_BACKOFF) > 0 ? MAXIMUM_BACKOFF : exponential;
        return Duration.ofNanos(Math.round(bounded.toNanos() * (0.5 + random.nextDouble() / 2)));
    }
}
