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
 * Combines what several nodes said about one proposal into the strongest statement that is certainly true.
 *
 * <p>Invariant: only an acceptance or a refusal of the whole proposal settles it, and the first of these stays. Once a
 * sending has no known outcome, nothing short of that makes the result anything but undetermined. Immutable and thread
 * safe.
 */
public final class OutcomeFold {
    private final ProposalId id;
    private final Optional<ChangeOutcome> settled;
    private final Optional<ChangeOutcome.Undetermined> open;
    private final Optional<ChangeOutcome> weak;
    private final List<CommandFailure> failures;

    private OutcomeFold(
            ProposalId id,
            Optional<ChangeOutcome> settled,
            Optional<ChangeOutcome.Undetermined> open,
            Optional<ChangeOutcome> weak,
            List<CommandFailure> failures) {
        this.id = id;
        this.settled = settled;
        this.open = open;
        this.weak = weak;
        this.failures = failures;
    }

    /** Returns the fold of a proposal that no node was asked about. */
    public static OutcomeFold of(ProposalId id) {
        Objects.requireNonNull(id, "id is null");
        return new OutcomeFold(id, Optional.empty(), Optional.empty(), Optional.empty(), List.of());
    }

    // -- core operations

    /** Adds what a node answered when the proposal was sent to it. */
    public OutcomeFold sent(Either<CommandFailure, ChangeOutcome> answer) {
        Objects.requireNonNull(answer, "answer is null");
        return answer.fold(this::sendingFailed, this::answered);
    }

    /** Adds what a node answered when it was asked for the proposal's outcome; a failure tells nothing. */
    public OutcomeFold asked(Either<CommandFailure, ChangeOutcome> answer) {
        Objects.requireNonNull(answer, "answer is null");
        return answer.fold(this::withFailure, this::answered);
    }

    /** Returns the combined outcome, or why there is none: then no sending of the proposal ran. */
    public Either<CommandFailure, ChangeOutcome> result() {
        Optional<ChangeOutcome> outcome = settled.or(() -> open).or(() -> weak);
        if (outcome.isPresent()) {
            return Either.right(outcome.get());
        }
        return Either.left(CommandFailure.NoNodeAnswered.of(failures));
    }

    // -- derived operations

    /** Returns whether no further answer can change the result. */
    public boolean isSettled() {
        return settled.isPresent();
    }

    /** Returns whether some sending may have run without a known outcome. */
    public boolean isOpen() {
        return settled.isEmpty() && open.isPresent();
    }

    /** Returns why a node refused, if one did and nothing stronger is known. */
    public Optional<Refusal> refusal() {
        if (settled.isPresent() || open.isPresent()) {
            return Optional.empty();
        }
        return weak.flatMap(outcome ->
                outcome instanceof ChangeOutcome.Refused refused ? Optional.of(refused.refusal()) : Optional.empty());
    }

    private OutcomeFold sendingFailed(CommandFailure failure) {
        if (isCertainlyNotRun(failure)) {
            return withFailure(failure);
        }
        return withOpen(new ChangeOutcome.Undetermined(id, failure.describe(), 0))
                .withFailure(failure);
    }

    private static boolean isCertainlyNotRun(CommandFailure failure) {
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

    private OutcomeFold answered(ChangeOutcome outcome) {
        if (isSettled()) {
            return this;
        }
        return switch (outcome) {
            case ChangeOutcome.Accepted accepted -> withSettled(accepted);
            case ChangeOutcome.Refused refused ->
                refused.scope() == ChangeOutcome.Scope.PROPOSAL ? withSettled(refused) : withWeak(refused);
            case ChangeOutcome.Undetermined undetermined -> withOpen(undetermined);
            case ChangeOutcome.NotRecorded notRecorded -> withWeak(notRecorded);
        };
    }

    private OutcomeFold withSettled(ChangeOutcome outcome) {
        return new OutcomeFold(id, Optional.of(outcome), open, weak, failures);
    }

    private OutcomeFold withOpen(ChangeOutcome.Undetermined outcome) {
        return new OutcomeFold(id, settled, Optional.of(outcome), weak, failures);
    }

    private OutcomeFold withWeak(ChangeOutcome outcome) {
        return new OutcomeFold(id, settled, open, Optional.of(outcome), failures);
    }

    private OutcomeFold withFailure(CommandFailure failure) {
        List<CommandFailure> longer = new ArrayList<>(failures);
        longer.add(failure);
        return new OutcomeFold(id, settled, open, weak, List.copyOf(longer));
    }
}
