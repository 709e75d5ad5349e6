package org.oleanderturn.command;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.DrainOutcome;
import org.oleanderturn.model.NodeId;

/**
 * Combines the outcomes that several nodes report for starting or ending the drain of one node.
 *
 * <p>Invariant: only an applied outcome is final. Once it is unknown whether some request took effect, the result stays
 * undetermined until a node reports that it was applied. Immutable and thread safe.
 */
final class DrainOutcomeAccumulator {
    private final NodeId node;
    private final Optional<DrainOutcome> appliedOutcome;
    private final Optional<DrainOutcome> undeterminedOutcome;
    private final Optional<DrainOutcome> notAppliedOutcome;
    private final List<CommandFailure> failures;

    private DrainOutcomeAccumulator(
            NodeId node,
            Optional<DrainOutcome> appliedOutcome,
            Optional<DrainOutcome> undeterminedOutcome,
            Optional<DrainOutcome> notAppliedOutcome,
            List<CommandFailure> failures) {
        this.node = node;
        this.appliedOutcome = appliedOutcome;
        this.undeterminedOutcome = undeterminedOutcome;
        this.notAppliedOutcome = notAppliedOutcome;
        this.failures = failures;
    }

    static DrainOutcomeAccumulator of(NodeId node) {
        Objects.requireNonNull(node, "node is null");
        return new DrainOutcomeAccumulator(node, Optional.empty(), Optional.empty(), Optional.empty(), List.of());
    }

    DrainOutcomeAccumulator withResult(Either<CommandFailure, DrainOutcome> result) {
        return result.fold(this::withFailure, this::withOutcome);
    }

    boolean isFinal() {
        return appliedOutcome.isPresent();
    }

    Either<CommandFailure, DrainOutcome> result() {
        Optional<DrainOutcome> outcome =
                appliedOutcome.or(() -> undeterminedOutcome).or(() -> notAppliedOutcome);
        if (outcome.isPresent()) {
            return Either.right(outcome.get());
        }
        return Either.left(CommandFailure.NoNodeAnswered.of(failures));
    }

    private DrainOutcomeAccumulator withFailure(CommandFailure failure) {
        List<CommandFailure> extendedFailures = new ArrayList<>(failures);
        extendedFailures.add(failure);
        boolean mayHaveRun = ExitStatus.of(failure) == ExitStatus.UNDETERMINED;
        Optional<DrainOutcome> undetermined =
                mayHaveRun ? Optional.of(new DrainOutcome.Undetermined(node, failure.describe())) : undeterminedOutcome;
        return new DrainOutcomeAccumulator(
                node, appliedOutcome, undetermined, notAppliedOutcome, List.copyOf(extendedFailures));
    }

    private DrainOutcomeAccumulator withOutcome(DrainOutcome outcome) {
        return switch (outcome) {
            case DrainOutcome.Applied applied ->
                new DrainOutcomeAccumulator(
                        node, Optional.of(applied), undeterminedOutcome, notAppliedOutcome, failures);
            case DrainOutcome.Undetermined undetermined ->
                new DrainOutcomeAccumulator(
                        node, appliedOutcome, Optional.of(undetermined), notAppliedOutcome, failures);
            case DrainOutcome.UnknownNode unknown ->
                new DrainOutcomeAccumulator(node, appliedOutcome, undeterminedOutcome, Optional.of(unknown), failures);
            case DrainOutcome.Unreachable unreachable ->
                new DrainOutcomeAccumulator(
                        node, appliedOutcome, undeterminedOutcome, Optional.of(unreachable), failures);
        };
    }
}
