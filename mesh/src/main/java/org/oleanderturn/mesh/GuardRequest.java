package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.oleanderturn.proxy.BodyReservation;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.HeaderField;

/**
 * One attempt at a request, as an entry sends it to a guard.
 *
 * <p>Thread safe; the body's bytes must not be changed.
 *
 * @param identity identifies the request in other attempts of its client
 * @param headers the client's headers without hop-by-hop and mesh-internal headers
 * @param client what the client states about its request
 * @param metadata what the entry states about the attempt
 * @param readDelay the estimated time from the arrival of the request until the guard's node read it
 * @param timeout how long the entry waits for the reply
 * @param bodies what the response is reserved from
 * @param cancellation cancelled when the reply is no longer needed
 */
@SuppressWarnings("ArrayRecordComponent")
record GuardRequest(
        String method,
        String path,
        List<HeaderField> headers,
        byte[] body,
        RequestIdentity identity,
        ClientRequestMetadata client,
        GuardRequestMetadata metadata,
        Duration readDelay,
        Duration timeout,
        BodyReservation bodies,
        Cancellation cancellation) {

    GuardRequest {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(identity, "identity is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(metadata, "metadata is null");
        Objects.requireNonNull(readDelay, "readDelay is null");
        Objects.requireNonNull(timeout, "timeout is null");
        Objects.requireNonNull(bodies, "bodies is null");
        Objects.requireNonNull(cancellation, "cancellation is null");
        headers = List.copyOf(headers);
    }
}
