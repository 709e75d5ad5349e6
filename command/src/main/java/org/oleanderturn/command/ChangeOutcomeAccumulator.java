package org.oleanderturn.command;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.ChangeOutcome;
import org.oleanderturn.model.ProposalId;
import org.oleanderturn.model.Refusal;

/**
 * Combines the outcomes that several nodes report for one proposal into the strongest one that is certainly true.
 *
 * <p>Invariant: only an acceptance, or a refusal with the scope of the whole proposal, is final, and the first final
 * outcome is kept. Once it is unknown whether some submission ran, the result stays undetermined until a final outcome is
 * known. Immutable and thread safe.
 */
public final class ChangeOutcomeAccumulator {
    private final ProposalId id;
    private final Optional<ChangeOutcome> finalOutcome;
    private final Optional<ChangeOutcome.Undetermined> undeterminedOutcome;
    private final Optional<ChangeOutcome> provisionalOutcome;
    private final List<CommandFailure> failures;

    private ChangeOutcomeAccumulator(
            ProposalId id,
            Optional<ChangeOutcome> finalOutcome,
            Optional<ChangeOutcome.Undetermined> undeterminedOutcome,
            Optional<ChangeOutcome> provisionalOutcome,
            List<CommandFailure> failures) {
        this.id = id;
        this.finalOutcome = finalOutcome;
        this.undeterminedOutcome = undeterminedOutcome;
        this.provisionalOutcome = provisionalOutcome;
        this.failures = failures;
    }

    /** Returns the accumulator of a proposal for which no outcome is known. */
    public static ChangeOutcomeAccumulator of(ProposalId id) {
        Objects.requireNonNull(id, "id is null");
        return new ChangeOutcomeAccumulator(id, Optional.empty(), Optional.empty(), Optional.empty(), List.of());
    }

    // -- core operations

    /** Adds a node's response to the submission of the proposal. */
    public ChangeOutcomeAccumulator withSubmissionResult(Either<CommandFailure, ChangeOutcome> result) {
        Objects.requireNonNull(result, "result is null");
        return result.fold(this::withSubmissionFailure, this::withOutcome);
    }

    /** Adds a node's response to a query for the proposal's outcome; a failed query does not affect a known outcome. */
    public ChangeOutcomeAccumulator withQueryResult(Either<CommandFailure, ChangeOutcome> result) {
        Objects.requireNonNull(result, "result is null");
        return result.fold(this::withFailure, this::withOutcome);
    }

    /** Returns the combined outcome, or the failures when there is none: then no submission of the proposal ran. */
    public Either<CommandFailure, ChangeOutcome> result() {
        Optional<ChangeOutcome> outcome =
                finalOutcome.or(() -> undeterminedOutcome).or(() -> provisionalOutcome);
        if (outcome.isPresent()) {
            return Either.right(outcome.get());
        }
        return Either.left(CommandFailure.NoNodeAnswered.of(failures));
    }

    // -- derived operations

    /** Returns whether no further response can change the result. */
    public boolean isFinal() {
        return finalOutcome.isPresent();
    }

    /** Returns whether some submission may have run without a known outcome. */
    public boolean isUndetermined() {
        return finalOutcome.isEmpty() && undeterminedOutcome.isPresent();
    }

    /** Returns the reason for a refusal that is not final; empty when the outcome is final, undetermined or not a refusal. */
    public Optional<Refusal> refusal() {
        if (finalOutcome.isPresent() || undeterminedOutcome.isPresent()) {
            return Optional.empty();
        }
        return provisionalOutcome.flatMap(outcome ->
                outcome instanceof ChangeOutcome.Refused refused ? Optional.of(refused.refusal()) : Optional.empty());
    }

    private ChangeOutcomeAccumulator withSubmissionFailure(CommandFailure failure) {
        if (isKnownNotRun(failure)) {
            return withFailure(failure);
        }
        return withUndeterminedOutcome(new ChangeOutcome.Undetermined(id, failure.describe(), 0))
                .withFailure(failure);
    }

    private static boolean isKnownNotRun(CommandFailure failure) {
        return switch (failure) {
            case CommandFailure.NotConnected notConnected -> true;
            case CommandFailure.Rejected rejected -> rejected.isNotRun();
            case CommandFailure.Input input -> true;
            case CommandFailure.AnswerLost answerLost -> false;
            case CommandFailure.MalformedAnswer malformedAnswer -> false;
            case CommandFailure.NoNodeAnswered noNodeAnswered -> false;
            case CommandFailure.InternalFault internalFault -> false;
        };
    }

    private ChangeOutcomeAccumulator withOutcome(ChangeOutcome outcome) {
        if (isFinal()) {
            return this;
        }
        return switch (outcome) {
            case ChangeOutcome.Accepted accepted -> withFinalOutcome(accepted);
            case ChangeOutcome.Refused refused ->
                refused.scope() == ChangeOutcome.Scope.PROPOSAL
                        ? withFinalOutcome(refused)
                        : withProvisionalOutcome(refused);
            case ChangeOutcome.Undetermined undetermined -> withUndeterminedOutcome(undetermined);
            case ChangeOutcome.NotRecorded notRecorded -> withProvisionalOutcome(notRecorded);
        };
    }

    private ChangeOutcomeAccumulator withFinalOutcome(ChangeOutcome outcome) {
        return new ChangeOutcomeAccumulator(
                id, Optional.of(outcome), undeterminedOutcome, provisionalOutcome, failures);
    }

    private ChangeOutcomeAccumulator withUndeterminedOutcome(ChangeOutcome.Undetermined outcome) {
        return new ChangeOutcomeAccumulator(id, finalOutcome, Optional.of(outcome), provisionalOutcome, failures);
    }

    private ChangeOutcomeAccumulator withProvisionalOutcome(ChangeOutcome outcome) {
        return new ChangeOutcomeAccumulator(id, finalOutcome, undeterminedOutcome, Optional.of(outcome), failures);
    }

    private ChangeOutcomeAccumulator withFailure(CommandFailure failure) {
        List<CommandFailure> extendedFailures = new ArrayList<>(failures);
        extendedFailures.add(failure);
        return new ChangeOutcomeAccumulator(
                id, finalOutcome, undeterminedOutcome, provisionalOutcome, List.copyOf(extendedFailures));
    }
}
