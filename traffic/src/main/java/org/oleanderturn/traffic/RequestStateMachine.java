package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.oleanderturn.model.RequestKind;

/**
 * State of one request at its entry: which attempts are outstanding, and which actions follow from each event.
 *
 * <p>Invariants: the caller gets exactly one response, either that of one attempt or a {@link LocalReply}; when one
 * attempt responds, the others are cancelled; events of attempts that are not outstanding are ignored, so late and
 * duplicate responses have no effect; a booking has at most one attempt outstanding, and none after an attempt that
 * may have run; at most two targets crash under one request.
 *
 * <p>Immutable. The events of one request must be handled one after the other, since transitions withdraw retries and
 * hedges from shared budgets.
 */
public final class RequestStateMachine {
    private final AttemptLimits limits;
    private final Phase phase;
    private final int attemptsSent;
    private final Set<Integer> outstanding;
    private final RetryAllowance allowance;
    private final AttemptHistory history;

    private RequestStateMachine(
            AttemptLimits limits,
            Phase phase,
            int attemptsSent,
            Set<Integer> outstanding,
            RetryAllowance allowance,
            AttemptHistory history) {
        this.limits = limits;
        this.phase = phase;
        this.attemptsSent = attemptsSent;
        this.outstanding = Set.copyOf(outstanding);
        this.allowance = allowance;
        this.history = history;
    }

    /** Starts a request; the transition sends its first attempt. */
    public static Transition start(AttemptLimits limits, RetryAllowance allowance, boolean isSuspect) {
        Objects.requireNonNull(limits, "limits is null");
        Objects.requireNonNull(allowance, "allowance is null");
        AttemptHistory history = new AttemptHistory(false, 0, isSuspect, Optional.empty());
        return new RequestStateMachine(limits, new Phase.AwaitingResponse(), 0, Set.of(), allowance, history)
                .sendAttempt();
    }

    // -- queries

    /** Returns whether the response to the caller has started or the request is done. */
    public boolean isResponseStarted() {
        return phase instanceof Phase.Responding || phase instanceof Phase.Done;
    }

    /** Returns whether the request is done: no attempt is outstanding and no action follows. */
    public boolean isDone() {
        return phase instanceof Phase.Done;
    }

    /** Returns the numbers of the outstanding attempts. */
    public Set<Integer> outstanding() {
        return outstanding;
    }

    /** Returns whether a guard must run the next attempt exclusively. */
    public boolean isSuspect() {
        return history.isSuspect() || history.crashedTargets() > 0;
    }

    // -- transitions

    /** Returns the transition that an event causes. */
    public Transition on(RequestEvent event) {
        Objects.requireNonNull(event, "event is null");
        if (isDone()) {
            return unchanged();
        }
        return switch (event) {
            case RequestEvent.ResponseStarted started -> responseStarted(started.attempt());
            case RequestEvent.AttemptEnded end -> attemptEnded(end);
            case RequestEvent.RetryDue due -> phase instanceof Phase.BackingOff ? sendAttempt() : unchanged();
            case RequestEvent.HedgeDue due ->
                isHedgeable() && limits.hedgeBudget().tryWithdraw() ? sendHedge() : unchanged();
            case RequestEvent.CallerCancelled cancelled -> reply(LocalReply.of(LocalReply.Status.CANCELLED));
            case RequestEvent.DeadlineExceeded exceeded -> deadlineExceeded();
        };
    }

    // -- attempts

    private Transition sendAttempt() {
        int attempt = attemptsSent + 1;
        Set<Integer> nextOutstanding = new HashSet<>(outstanding);
        nextOutstanding.add(attempt);
        RequestStateMachine next = new RequestStateMachine(
                limits, new Phase.AwaitingResponse(), attempt, nextOutstanding, allowance.afterGrant(), history);
        return new Transition(next, List.of(new RequestAction.Send(attempt, isSuspect(), allowance.grant())));
    }

    private Transition sendHedge() {
        return new RequestStateMachine(limits, phase, attemptsSent, outstanding, allowance.spend(), history)
                .sendAttempt();
    }

    private boolean isHedgeable() {
        return limits.kind() == RequestKind.LOOKUP
                && phase instanceof Phase.AwaitingResponse
                && outstanding.size() == 1
                && attemptsSent < limits.maximumAttempts()
                && !allowance.isEmpty()
                && !isSuspect();
    }

    private Transition responseStarted(int attempt) {
        if (!outstanding.contains(attempt) || phase instanceof Phase.Responding) {
            return unchanged();
        }
        return deliver(attempt, new Phase.Responding(attempt), Set.of(attempt));
    }

    private Transition attemptEnded(RequestEvent.AttemptEnded end) {
        if (!outstanding.contains(end.attempt())) {
            return unchanged();
        }
        RequestStateMachine remaining = withoutAttempt(end.attempt(), end.outcome());
        boolean isSuccess = end.outcome() instanceof AttemptOutcome.Succeeded;
        if (phase instanceof Phase.Responding) {
            return isSuccess ? finish(List.of()) : remaining.reply(LocalReply.of(LocalReply.Status.TRUNCATED));
        }
        if (isSuccess) {
            return deliver(end.attempt(), new Phase.Done(), Set.of());
        }
        if (end.outcome() instanceof AttemptOutcome.ResponseTruncated) {
            return remaining.reply(LocalReply.of(LocalReply.Status.TRUNCATED));
        }
        return remaining.afterFailure(end);
    }

    private Transition afterFailure(RequestEvent.AttemptEnded end) {
        if (!outstanding.isEmpty()) {
            return unchanged();
        }
        RetryState state = retryState(end.remaining());
        return switch (limits.retryPolicy().decide(state, end.outcome(), limits.retryBudget())) {
            case RetryDecision.Retry retry -> {
                RequestStateMachine backingOff = new RequestStateMachine(
                        limits, new Phase.BackingOff(), attemptsSent, outstanding, allowance.spend(), history);
                yield retry.delay().isZero()
                        ? backingOff.sendAttempt()
                        : new Transition(backingOff, List.of(new RequestAction.ScheduleRetry(retry.delay())));
            }
            case RetryDecision.GiveUp giveUp ->
                reply(limits.retryPolicy().localReply(state, history.mostInformative(end.outcome())));
            case RetryDecision.Deliver deliver ->
                throw new IllegalStateException("the retry policy delivered a failed attempt");
        };
    }

    private RequestStateMachine withoutAttempt(int attempt, AttemptOutcome outcome) {
        Set<Integer> remaining = new HashSet<>(outstanding);
        remaining.remove(attempt);
        return new RequestStateMachine(limits, phase, attemptsSent, remaining, allowance, history.with(outcome));
    }

    private RetryState retryState(Duration remaining) {
        return new RetryState(
                limits.kind(),
                attemptsSent,
                limits.maximumAttempts(),
                allowance,
                remaining,
                history.mayHaveRun(),
                history.crashedTargets(),
                history.isSuspect());
    }

    // -- responses

    private Transition deliver(int attempt, Phase next, Set<Integer> nextOutstanding) {
        List<RequestAction> actions = new ArrayList<>();
        actions.add(new RequestAction.Deliver(attempt));
        outstanding.stream()
                .filter(other -> other != attempt)
                .sorted()
                .forEach(other -> actions.add(new RequestAction.Cancel(other)));
        return new Transition(
                new RequestStateMachine(limits, next, attemptsSent, nextOutstanding, allowance, history), actions);
    }

    private Transition deadlineExceeded() {
        boolean mayHaveRun = history.mayHaveRun() || !outstanding.isEmpty();
        if (phase instanceof Phase.Responding) {
            return reply(LocalReply.of(LocalReply.Status.TRUNCATED));
        }
        AttemptOutcome outcome = mayHaveRun
                ? new AttemptOutcome.Unknown()
                : history.mostInformative(new AttemptOutcome.NotRun(NotRunReason.DEADLINE, Duration.ZERO));
        return reply(limits.retryPolicy().localReply(retryState(Duration.ZERO), outcome));
    }

    private Transition reply(LocalReply localReply) {
        List<RequestAction> actions = new ArrayList<>();
        actions.add(new RequestAction.Reply(localReply));
        outstanding.stream().sorted().forEach(other -> actions.add(new RequestAction.Cancel(other)));
        return finish(actions);
    }

    private Transition finish(List<RequestAction> actions) {
        return new Transition(
                new RequestStateMachine(limits, new Phase.Done(), attemptsSent, Set.of(), allowance, history), actions);
    }

    private Transition unchanged() {
        return new Transition(this, List.of());
    }

    /**
     * The result of an event.
     *
     * @param next the state after the event
     * @param actions what the entry has to do, in this order
     */
    public record Transition(RequestStateMachine next, List<RequestAction> actions) {

        /** Copies the actions; throws {@link NullPointerException} if a component is null. */
        public Transition {
            Objects.requireNonNull(next, "next is null");
            actions = List.copyOf(actions);
        }
    }

    private sealed interface Phase {
        record AwaitingResponse() implements Phase {}

        record BackingOff() implements Phase {}

        record Responding(int attempt) implements Phase {}

        record Done() implements Phase {}
    }

    /**
     * What is known from the attempts that have ended.
     *
     * @param mayHaveRun whether one of them may have run
     * @param crashedTargets targets that crashed while running one of them
     * @param isSuspect whether the request was suspect at the start
     * @param lastRefusal the last refusal by an endpoint
     */
    private record AttemptHistory(
            boolean mayHaveRun, int crashedTargets, boolean isSuspect, Optional<AttemptOutcome.NotRun> lastRefusal) {

        AttemptHistory with(AttemptOutcome outcome) {
            boolean isCrash = outcome instanceof AttemptOutcome.TargetCrashed;
            Optional<AttemptOutcome.NotRun> next =
                    outcome instanceof AttemptOutcome.NotRun notRun && notRun.reason() != NotRunReason.NO_ENDPOINT
                            ? Optional.of(notRun)
                            : lastRefusal;
            return new AttemptHistory(
                    mayHaveRun || outcome.mayHaveRun(), crashedTargets + (isCrash ? 1 : 0), isSuspect, next);
        }

        /**
         * Returns the last refusal by an endpoint if the outcome only says that there was no further endpoint or no
         * time left; otherwise the outcome.
         */
        AttemptOutcome mostInformative(AttemptOutcome outcome) {
            boolean isUninformative = outcome instanceof AttemptOutcome.NotRun notRun
                    && (notRun.reason() == NotRunReason.NO_ENDPOINT || notRun.reason() == NotRunReason.DEADLINE);
            return isUninformative && lastRefusal.isPresent() ? lastRefusal.get() : outcome;
        }
    }
}
