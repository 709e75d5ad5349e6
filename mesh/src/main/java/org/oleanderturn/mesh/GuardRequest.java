package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.HeaderField;

/**
 * A request as a guard takes it.
 *
 * <p>Thread safe; the body's bytes are not to be changed.
 *
 * @param headers the client's headers that are passed on
 * @param client what the client says of its request
 * @param metadata what the entry says of it
 * @param timeout how long the entry waits for the reply
 * @param cancellation ends the request when nobody waits any more
 */
@SuppressWarnings("ArrayRecordComponent")
record GuardRequest(
        String method,
        String path,
        List<HeaderField> headers,
        byte[] body,
        ClientRequestMetadata client,
        GuardRequestMetadata metadata,
        Duration timeout,
        Cancellation cancellation) {

    GuardRequest {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(metadata, "order is null");
        Objects.requireNonNull(timeout, "patience is null");
        Objects.requireNonNull(cancellation, "cancellation is null");
        headers = List.copyOf(headers);
    }
}
