package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * What a client states about its request beside method, path and body.
 *
 * <p>Immutable and thread safe.
 *
 * @param attemptId identifies the attempt; every attempt of a client has its own id; empty if none is stated
 * @param timeout how long the client waits for the response, if it says so
 * @param host the virtual host that the request is for, without a port; empty if none is stated
 * @param credentials the key that the client states
 */
public record ClientRequestMetadata(
        String attemptId, Optional<Duration> timeout, String host, ClientCredentials credentials) {

    /** Throws a {@link NullPointerException} when a component is null. */
    public ClientRequestMetadata {
        Objects.requireNonNull(attemptId, "attemptId is null");
        Objects.requireNonNull(timeout, "timeout is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(credentials, "credentials is null");
    }

    /** Creates the metadata of a client that states no key. */
    public ClientRequestMetadata(String attemptId, Optional<Duration> timeout, String host) {
        this(attemptId, timeout, host, ClientCredentials.none());
    }
}
