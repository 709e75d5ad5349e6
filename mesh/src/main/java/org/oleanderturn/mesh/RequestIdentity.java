package org.oleanderturn.mesh;

import java.util.Objects;
import org.oleanderturn.traffic.Fingerprint;
import org.oleanderturn.traffic.RequestSender;

/**
 * What makes two sendings the same request to a target: method, host, path with query, body, calling service and
 * organisation. Attempt id, deadline and other headers may differ.
 *
 * <p>Invariant: route and chosen service are no part of it, so that entry and guard of every node compute the same
 * fingerprint under every version of the configuration that gives the client's key to the same organisation. The fingerprint is
 * computed when it is first needed, since most requests never need it. Thread safe; the body's bytes must not be changed.
 */
final class RequestIdentity {
    private final String method;
    private final String host;
    private final String path;
    private final RequestSender sender;
    private final byte[] body;
    private volatile Fingerprint fingerprint;

    private RequestIdentity(String method, String host, String path, RequestSender sender, byte[] body) {
        this.method = method;
        this.host = host;
        this.path = path;
        this.sender = sender;
        this.body = body;
    }

    /**
     * Returns the identity of a request.
     *
     * @param host the virtual host without a port, in any case
     * @param path the path and query
     */
    static RequestIdentity of(String method, String host, String path, RequestSender sender, byte[] body) {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(sender, "sender is null");
        return new RequestIdentity(method, host, path, sender, body);
    }

    Fingerprint fingerprint() {
        Fingerprint known = fingerprint;
        if (known == null) {
            known = Fingerprint.ofRequest(method, host, path, sender, body);
            fingerprint = known;
        }
        return known;
    }
}
