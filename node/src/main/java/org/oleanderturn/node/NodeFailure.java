package org.oleanderturn.node;

/**
 * A reason why a node could not start.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface NodeFailure {

    /** Returns a one-line description for operators. */
    default String describe() {
        return switch (this) {
            case BindFailed failure -> failure.address() + ": can't be bound: " + failure.reason();
        };
    }

    /** An address can't be bound. */
    record BindFailed(String address, String reason) implements NodeFailure {}
}
