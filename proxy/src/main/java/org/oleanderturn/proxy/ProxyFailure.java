package org.oleanderturn.proxy;

/**
 * Why the proxy could not start to serve.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface ProxyFailure {

    /** The address can't be listened on. */
    record ListenFailed(String address, String reason) implements ProxyFailure {}
}
