package org.oleanderturn.node;

import java.util.Objects;

/**
 * Answers the control messages in which nodes tell each other about their targets.
 *
 * <p>Invariant: every message gets an answer; one of another subject changes nothing. Thread safe.
 */
final class TargetMessages {
    private final MeshDataPlane data;

    TargetMessages(MeshDataPlane data) {
        this.data = Objects.requireNonNull(data, "data is null");
    }

    /** Returns the answer of a node that doesn't exchange such messages. */
    static ControlMessage answerNone(ControlMessage message) {
        return new ControlMessage.NotUnderstood(message.getClass().getSimpleName() + " is not expected here");
    }

    ControlMessage answer(ControlMessage message) {
        return switch (message) {
            case ControlMessage.Suspicions known -> {
                var _ = data.crashLedger().merge(known.suspicions());
                yield new ControlMessage.Noted();
            }
            case ControlMessage.CompareSuspicions compared ->
                compared.digest() == data.crashLedger().digest()
                        ? new ControlMessage.Noted()
                        : new ControlMessage.Suspicions(data.crashLedger().suspicions());
            case ControlMessage.Conditions known -> {
                data.mergeConditions(known.conditions());
                yield new ControlMessage.Noted();
            }
            case ControlMessage.CompareConditions compared ->
                compared.digest() == data.conditions().digest()
                        ? new ControlMessage.Noted()
                        : new ControlMessage.Conditions(data.conditions().known());
            case ControlMessage.Load load -> {
                data.recordLoad(load.node(), load.report());
                yield new ControlMessage.Noted();
            }
            default -> answerNone(message);
        };
    }
}
