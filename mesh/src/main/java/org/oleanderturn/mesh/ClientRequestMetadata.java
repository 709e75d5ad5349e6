package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * What a client says of its request beside method, path and body.
 *
 * <p>Immutable and thread safe.
 *
 * @param attemptId identifies this attempt of the client; each has its own
 * @param timeout how long the client waits for the answer
 * @param host the virtual host that the request is for, without a port
 */
public record ClientRequestMetadata(String attemptId, Optional<Duration> timeout, String host) {

    /** Checks that every part is there. */
    public ClientRequestMetadata {
        Objects.requireNonNull(attemptId, "attemptId is null");
        Objects.requireNonNull(timeout, "patience is null");
        Objects.requireNonNull(host, "host is null");
    }
}
