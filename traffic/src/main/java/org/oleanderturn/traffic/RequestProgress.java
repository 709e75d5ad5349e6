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
public final class RequestProgress {
    private final RequestLimits limits;
    private final Phase phase;
    private final int sent;
    private final Set<Integer> out;
    private final RetryAllowance allowance;
    private final Findings findings;

    private RequestProgress(
            RequestLimits limits,
            Phase phase,
            int sent,
            Set<Integer> out,
            RetryAllowance allowance,
            Findings findings) {
        this.limits = limits;
        this.phase = phase;
        this.sent = sent;
        this.out = Set.copyOf(out);
        this.allowance = allowance;
        this.findings = findings;
    }

    /** Starts a request: the step sends its first attempt. */
    public static Step start(RequestLimits limits, RetryAllowance allowance, boolean isSuspect) {
        Objects.requireNonNull(limits, "limits is null");
        Objects.requireNonNull(allowance, "allowance is null");
        Findings findings = new Findings(false, 0, isSuspect, Optional.empty());
        return new RequestProgress(limits, new Phase.Waiting(), 0, Set.of(), allowance, findings).send();
    }

    // -- queries

    /** Returns whether the caller has its answer, or is getting it. */
    public boolean isAnswered() {
        return phase instanceof Phase.Answering || phase instanceof Phase.Done;
    }

    /** Returns whether nothing more is to come. */
    public boolean isDone() {
        return phase instanceof Phase.Done;
    }

    /** Returns the attempts that are out. */
    public Set<Integer> out() {
        return out;
    }

    /** Returns whether the request is to be run alone. */
    public boolean isSuspect() {
        return findings.isSuspect() || findings.deaths() > 0;
    }

    // -- core operations

    /** Returns what follows from an event. */
    public Step on(RequestEvent event) {
        Objects.requireNonNull(event, "event is null");
        if (isDone()) {
            return stay();
        }
        return switch (event) {
            case RequestEvent.AnswerBegan began -> began(began.attempt());
            case RequestEvent.AttemptEnded ended -> ended(ended);
            case RequestEvent.RetryDue due -> phase instanceof Phase.Paused ? send() : stay();
            case RequestEvent.HedgeDue due -> isHedgeable() && limits.hedges().tryWithdraw() ? sendExtra() : stay();
            case RequestEvent.CallerGone gone -> finish(FinalAnswer.of(FinalAnswer.Status.CANCELLED));
            case RequestEvent.DeadlinePassed passed -> expire();
        };
    }

    // -- attempts

    private Step send() {
        int attempt = sent + 1;
        Set<Integer> nextOut = new HashSet<>(out);
        nextOut.add(attempt);
        RequestProgress next =
                new RequestProgress(limits, new Phase.Waiting(), attempt, nextOut, allowance.afterGrant(), findings);
        return new Step(next, List.of(new RequestAction.Send(attempt, isSuspect(), allowance.grant())));
    }

    private Step sendExtra() {
        return new RequestProgress(limits, phase, sent, out, allowance.spend(), findings).send();
    }

    private boolean isHedgeable() {
        return limits.kind() == RequestKind.LOOKUP
                && phase instanceof Phase.Waiting
                && out.size() == 1
                && sent < limits.maximumAttempts()
                && !allowance.isEmpty()
                && !isSuspect();
    }

    private Step began(int attempt) {
        if (!out.contains(attempt) || phase instanceof Phase.Answering) {
            return stay();
        }
        return deliver(attempt, new Phase.Answering(attempt), Set.of(attempt));
    }

    private Step ended(RequestEvent.AttemptEnded ended) {
        if (!out.contains(ended.attempt())) {
            return stay();
        }
        RequestProgress rest = without(ended.attempt(), ended.outcome());
        boolean isSuccess = ended.outcome() instanceof AttemptOutcome.Succeeded;
        if (phase instanceof Phase.Answering) {
            return isSuccess ? done(List.of()) : rest.finish(FinalAnswer.of(FinalAnswer.Status.TRUNCATED));
        }
        if (isSuccess) {
            return deliver(ended.attempt(), new Phase.Done(), Set.of());
        }
        if (ended.outcome() instanceof AttemptOutcome.AnswerStarted) {
            return rest.finish(FinalAnswer.of(FinalAnswer.Status.TRUNCATED));
        }
        return rest.afterFailure(ended);
    }

    private Step afterFailure(RequestEvent.AttemptEnded ended) {
        if (!out.isEmpty()) {
            return stay();
        }
        RetryState state = retryState(ended.remaining());
        return switch (limits.policy().decide(state, ended.outcome(), limits.retries())) {
            case RetryDecision.Retry retry -> {
                RequestProgress paused =
                        new RequestProgress(limits, new Phase.Paused(), sent, out, allowance.spend(), findings);
                yield retry.after().isZero()
                        ? paused.send()
                        : new Step(paused, List.of(new RequestAction.Pause(retry.after())));
            }
            case RetryDecision.GiveUp giveUp ->
                finish(limits.policy().finalAnswer(state, findings.lastWord(ended.outcome())));
            case RetryDecision.Deliver deliver -> throw new IllegalStateException("a failure is not delivered");
        };
    }

    private RequestProgress without(int attempt, AttemptOutcome outcome) {
        Set<Integer> rest = new HashSet<>(out);
        rest.remove(attempt);
        return new RequestProgress(limits, phase, sent, rest, allowance, findings.with(outcome));
    }

    private RetryState retryState(Duration remaining) {
        return new RetryState(
                limits.kind(),
                sent,
                limits.maximumAttempts(),
                allowance,
                remaining,
                findings.isPossiblyRun(),
                findings.deaths(),
                findings.isSuspect());
    }

    // -- answers

    private Step deliver(int attempt, Phase next, Set<Integer> stillOut) {
        List<RequestAction> actions = new ArrayList<>();
        actions.add(new RequestAction.Deliver(attempt));
        out.stream()
                .filter(other -> other != attempt)
                .sorted()
                .forEach(other -> actions.add(new RequestAction.Cancel(other)));
        return new Step(new RequestProgress(limits, next, sent, stillOut, allowance, findings), actions);
    }

    private Step expire() {
        boolean isPossiblyRun = findings.isPossiblyRun() || !out.isEmpty();
        if (phase instanceof Phase.Answering) {
            return finish(FinalAnswer.of(FinalAnswer.Status.TRUNCATED));
        }
        AttemptOutcome outcome = isPossiblyRun
                ? new AttemptOutcome.Unknown()
                : findings.lastWord(new AttemptOutcome.NotRun(NotRunReason.DEADLINE, Duration.ZERO));
        return finish(limits.policy().finalAnswer(retryState(Duration.ZERO), outcome));
    }

    private Step finish(FinalAnswer answer) {
        List<RequestAction> actions = new ArrayList<>();
        actions.add(new RequestAction.Answer(answer));
        out.stream().sorted().forEach(other -> actions.add(new RequestAction.Cancel(other)));
        return done(actions);
    }

    private Step done(List<RequestAction> actions) {
        return new Step(new RequestProgress(limits, new Phase.Done(), sent, Set.of(), allowance, findings), actions);
    }

    private Step stay() {
        return new Step(this, List.of());
    }

    /** The request after an event, and what to do. */
    public record Step(RequestProgress progress, List<RequestAction> actions) {

        /** Checks that both parts are there and copies the actions. */
        public Step {
            Objects.requireNonNull(progress, "progress is null");
            actions = List.copyOf(actions);
        }
    }

    private sealed interface Phase {
        record Waiting() implements Phase {}

        record Paused() implements Phase {}

        record Answering(int attempt) implements Phase {}

        record Done() implements Phase {}
    }

    /** What the ended attempts have told. */
    private record Findings(
            boolean isPossiblyRun, int deaths, boolean isSuspect, Optional<AttemptOutcome.NotRun> refusal) {

        Findings with(AttemptOutcome outcome) {
            boolean isDeath = outcome instanceof AttemptOutcome.TargetDied;
            Optional<AttemptOutcome.NotRun> next =
                    outcome instanceof AttemptOutcome.NotRun notRun && notRun.reason() != NotRunReason.NO_ENDPOINT
                            ? Optional.of(notRun)
                            : refusal;
            return new Findings(isPossiblyRun || outcome.isPossiblyRun(), deaths + (isDeath ? 1 : 0), isSuspect, next);
        }

        /** Returns the outcome, or the last endpoint's refusal when there was only no further endpoint to ask. */
        AttemptOutcome lastWord(AttemptOutcome outcome) {
            boolean isWithoutWord = outcome instanceof AttemptOutcome.NotRun notRun
                    && (notRun.reason() == NotRunReason.NO_ENDPOINT || notRun.reason() == NotRunReason.DEADLINE);
            return isWithoutWord && refusal.isPresent() ? refusal.get() : outcome;
        }
    }
}
