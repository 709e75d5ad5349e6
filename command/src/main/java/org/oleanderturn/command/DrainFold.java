package org.oleanderturn.command;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.DrainOutcome;
import org.oleanderturn.model.NodeId;

/**
 * Combines what several nodes said when they were asked to drain one node, or to end its drain.
 *
 * <p>Invariant: only an application settles it; once a sending has no known outcome, nothing else does. Immutable and
 * thread safe.
 */
final class DrainFold {
    private final NodeId node;
    private final Optional<DrainOutcome> settled;
    private final Optional<DrainOutcome> open;
    private final Optional<DrainOutcome> notDone;
    private final List<CommandFailure> failures;

    private DrainFold(
            NodeId node,
            Optional<DrainOutcome> settled,
            Optional<DrainOutcome> open,
            Optional<DrainOutcome> notDone,
            List<CommandFailure> failures) {
        this.node = node;
        this.settled = settled;
        this.open = open;
        this.notDone = notDone;
        this.failures = failures;
    }

    static DrainFold of(NodeId node) {
        Objects.requireNonNull(node, "node is null");
        return new DrainFold(node, Optional.empty(), Optional.empty(), Optional.empty(), List.of());
    }

    DrainFold sent(Either<CommandFailure, DrainOutcome> answer) {
        return answer.fold(this::failed, this::answered);
    }

    boolean isSettled() {
        return settled.isPresent();
    }

    Either<CommandFailure, DrainOutcome> result() {
        Optional<DrainOutcome> outcome = settled.or(() -> open).or(() -> notDone);
        if (outcome.isPresent()) {
            return Either.right(outcome.get());
        }
        return Either.left(CommandFailure.NoNodeAnswered.of(failures));
    }

    private DrainFold failed(CommandFailure failure) {
        List<CommandFailure> longer = new ArrayList<>(failures);
        longer.add(failure);
        boolean isMaybeRun = ExitStatus.of(failure) == ExitStatus.UNDETERMINED;
        Optional<DrainOutcome> undetermined =
                isMaybeRun ? Optional.of(new DrainOutcome.Undetermined(node, failure.describe())) : open;
        return new DrainFold(node, settled, undetermined, notDone, List.copyOf(longer));
    }

    private DrainFold answered(DrainOutcome outcome) {
        return switch (outcome) {
            case DrainOutcome.Applied applied -> new DrainFold(node, Optional.of(applied), open, notDone, failures);
            case DrainOutcome.Undetermined undetermined ->
                new DrainFold(node, settled, Optional.of(undetermined), notDone, failures);
            case DrainOutcome.UnknownNode unknown -> new DrainFold(node, settled, open, Optional.of(unknown), failures);
            case DrainOutcome.Unreachable unreachable ->
                new DrainFold(node, settled, open, Optional.of(unreachable), failures);
        };
    }
}
