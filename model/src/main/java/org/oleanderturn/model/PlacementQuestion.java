package org.oleanderturn.model;

import java.util.Objects;
import java.util.Optional;

/**
 * An operator's question where a request would go that is not sent. Immutable and thread safe.
 *
 * @param method the HTTP method, in upper case
 * @param host the virtual host, without a port
 * @param path the path and query
 * @param key the digest of the key that the request would carry; empty for a request without one
 */
public record PlacementQuestion(String method, String host, String path, Optional<KeyDigest> key) {

    /** Throws {@link NullPointerException} if the method, the host or the path is null. */
    public PlacementQuestion {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(path, "path is null");
        // The decoder passes null for a field that is missing.
        key = key == null ? Optional.empty() : key;
    }
}
