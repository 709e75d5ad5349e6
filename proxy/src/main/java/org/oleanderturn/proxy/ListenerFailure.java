package org.oleanderturn.proxy;

/**
 * Why the proxy could not start to serve.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface ListenerFailure {

    /** The address can't be listened on. */
    record BindFailed(String address, String reason) implements ListenerFailure {}
}
