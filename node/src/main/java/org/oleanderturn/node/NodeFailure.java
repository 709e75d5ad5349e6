package org.oleanderturn.node;

/**
 * Why a node could not start.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface NodeFailure {

    /** Returns one line for an operator. */
    default String describe() {
        return switch (this) {
            case ListenFailed failure -> failure.address() + ": can't be listened on: " + failure.reason();
        };
    }

    /** An address can't be listened on. */
    record ListenFailed(String address, String reason) implements NodeFailure {}
}
