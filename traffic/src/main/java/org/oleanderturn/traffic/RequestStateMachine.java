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
 * The course of one request at its entry: which attempts are out, and what to do as each event comes.
 *
 * <p>Invariants: the caller gets one answer, from one attempt, or one final answer; attempts beside the one that answers
 * are cancelled; events of attempts that are not out are ignored, so late and duplicated answers change nothing; a
 * booking has at most one attempt out, and none after one that may have run; at most two targets die under one request.
 *
 * <p>Immutable. The events of one request are handled one after the other, since a step takes retries and hedges out of
 * the budgets.
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
            int sent,
            Set<Integer> out,
            RetryAllowance allowance,
            AttemptHistory findings) {
        this.limits = limits;
        this.phase = phase;
        this.attemptsSent = sent;
        this.outstanding = Set.copyOf(out);
        this.allowance = allowance;
        this.history = findings;
    }

    /** Starts a request: the step sends its first attempt. */
    public static Transition start(AttemptLimits limits, RetryAllowance allowance, boolean isSuspect) {
        Objects.requireNonNull(limits, "limits is null");
        Objects.requireNonNull(allowance, "allowance is null");
        AttemptHistory findings = new AttemptHistory(false, 0, isSuspect, Optional.empty());
        return new RequestStateMachine(limits, new Phase.AwaitingResponse(), 0, Set.of(), allowance, findings)
                .sendAttempt();
    }

    // -- queries

    /** Returns whether the caller has its answer, or is getting it. */
    public boolean isResponseStarted() {
        return phase instanceof Phase.Responding || phase instanceof Phase.Done;
    }

    /** Returns whether nothing more is to come. */
    public boolean isDone() {
        return phase instanceof Phase.Done;
    }

    /** Returns the attempts that are out. */
    public Set<Integer> outstanding() {
        return outstanding;
    }

    /** Returns whether the request is to be run alone. */
    public boolean isSuspect() {
        return history.isSuspect() || history.crashedTargets() > 0;
    }

    // -- core operations

    /** Returns what follows from an event. */
    public Transition on(RequestEvent event) {
        Objects.requireNonNull(event, "event is null");
        if (isDone()) {
            return unchanged();
        }
        return switch (event) {
            case RequestEvent.ResponseStarted began -> responseStarted(began.attempt());
            case RequestEvent.AttemptEnded ended -> attemptEnded(ended);
            case RequestEvent.RetryDue due -> phase instanceof Phase.BackingOff ? sendAttempt() : unchanged();
            case RequestEvent.HedgeDue due ->
                isHedgeable() && limits.hedgeBudget().tryWithdraw() ? sendHedge() : unchanged();
            case RequestEvent.CallerCancelled gone -> reply(LocalReply.of(LocalReply.Status.CANCELLED));
            case RequestEvent.DeadlineExceeded passed -> deadlineExceeded();
        };
    }

    // -- attempts

    private Transition sendAttempt() {
        int attempt = attemptsSent + 1;
        Set<Integer> nextOut = new HashSet<>(outstanding);
        nextOut.add(attempt);
        RequestStateMachine next = new RequestStateMachine(
                limits, new Phase.AwaitingResponse(), attempt, nextOut, allowance.afterGrant(), history);
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

    private Transition attemptEnded(RequestEvent.AttemptEnded ended) {
        if (!outstanding.contains(ended.attempt())) {
            return unchanged();
        }
        RequestStateMachine rest = withoutAttempt(ended.attempt(), ended.outcome());
        boolean isSuccess = ended.outcome() instanceof AttemptOutcome.Succeeded;
        if (phase instanceof Phase.Responding) {
            return isSuccess ? finish(List.of()) : rest.reply(LocalReply.of(LocalReply.Status.TRUNCATED));
        }
        if (isSuccess) {
            return deliver(ended.attempt(), new Phase.Done(), Set.of());
        }
        if (ended.outcome() instanceof AttemptOutcome.ResponseTruncated) {
            return rest.reply(LocalReply.of(LocalReply.Status.TRUNCATED));
        }
        return rest.afterFailure(ended);
    }

    private Transition afterFailure(RequestEvent.AttemptEnded ended) {
        if (!outstanding.isEmpty()) {
            return unchanged();
        }
        RetryState state = retryState(ended.remaining());
        return switch (limits.retryPolicy().decide(state, ended.outcome(), limits.retryBudget())) {
            case RetryDecision.Retry retry -> {
                RequestStateMachine paused = new RequestStateMachine(
                        limits, new Phase.BackingOff(), attemptsSent, outstanding, allowance.spend(), history);
                yield retry.delay().isZero()
                        ? paused.sendAttempt()
                        : new Transition(paused, List.of(new RequestAction.ScheduleRetry(retry.delay())));
            }
            case RetryDecision.GiveUp giveUp ->
                reply(limits.retryPolicy().localReply(state, history.mostInformative(ended.outcome())));
            case RetryDecision.Deliver deliver -> throw new IllegalStateException("a failure is not delivered");
        };
    }

    private RequestStateMachine withoutAttempt(int attempt, AttemptOutcome outcome) {
        Set<Integer> rest = new HashSet<>(outstanding);
        rest.remove(attempt);
        return new RequestStateMachine(limits, phase, attemptsSent, rest, allowance, history.with(outcome));
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

    // -- answers

    private Transition deliver(int attempt, Phase next, Set<Integer> stillOut) {
        List<RequestAction> actions = new ArrayList<>();
        actions.add(new RequestAction.Deliver(attempt));
        outstanding.stream()
                .filter(other -> other != attempt)
                .sorted()
                .forEach(other -> actions.add(new RequestAction.Cancel(other)));
        return new Transition(
                new RequestStateMachine(limits, next, attemptsSent, stillOut, allowance, history), actions);
    }

    private Transition deadlineExceeded() {
        boolean isPossiblyRun = history.mayHaveRun() || !outstanding.isEmpty();
        if (phase instanceof Phase.Responding) {
            return reply(LocalReply.of(LocalReply.Status.TRUNCATED));
        }
        AttemptOutcome outcome = isPossiblyRun
                ? new AttemptOutcome.Unknown()
                : history.mostInformative(new AttemptOutcome.NotRun(NotRunReason.DEADLINE, Duration.ZERO));
        return reply(limits.retryPolicy().localReply(retryState(Duration.ZERO), outcome));
    }

    private Transition reply(LocalReply answer) {
        List<RequestAction> actions = new ArrayList<>();
        actions.add(new RequestAction.Reply(answer));
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

    /** The request after an event, and what to do. */
    public record Transition(RequestStateMachine next, List<RequestAction> actions) {

        /** Checks that both parts are there and copies the actions. */
        public Transition {
            Objects.requireNonNull(next, "progress is null");
            actions = List.copyOf(actions);
        }
    }

    private sealed interface Phase {
        record AwaitingResponse() implements Phase {}

        record BackingOff() implements Phase {}

        record Responding(int attempt) implements Phase {}

        record Done() implements Phase {}
    }

    /** What the ended attempts have told. */
    private record AttemptHistory(
            boolean mayHaveRun, int crashedTargets, boolean isSuspect, Optional<AttemptOutcome.NotRun> lastRefusal) {

        AttemptHistory with(AttemptOutcome outcome) {
            boolean isDeath = outcome instanceof AttemptOutcome.TargetCrashed;
            Optional<AttemptOutcome.NotRun> next =
                    outcome instanceof AttemptOutcome.NotRun notRun && notRun.reason() != NotRunReason.NO_ENDPOINT
                            ? Optional.of(notRun)
                            : lastRefusal;
            return new AttemptHistory(
                    mayHaveRun || outcome.mayHaveRun(), crashedTargets + (isDeath ? 1 : 0), isSuspect, next);
        }

        /** Returns the outcome, or the last endpoint's refusal when there was only no further endpoint to ask. */
        AttemptOutcome mostInformative(AttemptOutcome outcome) {
            boolean isWithoutWord = outcome instanceof AttemptOutcome.NotRun notRun
                    && (notRun.reason() == NotRunReason.NO_ENDPOINT || notRun.reason() == NotRunReason.DEADLINE);
            return isWithoutWord && lastRefusal.isPresent() ? lastRefusal.get() : outcome;
        }
    }
}
