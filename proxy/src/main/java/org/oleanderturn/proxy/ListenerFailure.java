package org.oleanderturn.proxy;

/**
 * Why a listener could not be started.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface ListenerFailure {

    /** The address could not be bound. */
    record BindFailed(String address, String reason) implements ListenerFailure {}
}
