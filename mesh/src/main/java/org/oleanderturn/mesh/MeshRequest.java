package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.proxy.HeaderField;

/**
 * A client's request with the route it takes.
 *
 * <p>Immutable and thread safe; the body's bytes are not to be changed.
 *
 * @param headers the client's headers that are passed on
 * @param service the part of the route's split that answers
 * @param version the configuration that the route comes from
 * @param receivedNanoseconds when the request came
 * @param deadlineNanoseconds when its client or its route gives it up
 * @param earlierWait how long its client spent on earlier attempts
 */
@SuppressWarnings("ArrayRecordComponent")
record MeshRequest(
        String method,
        String path,
        List<HeaderField> headers,
        byte[] body,
        ClientRequestMetadata client,
        RouteIndex.Match match,
        ServiceName service,
        ConfigurationVersion version,
        long receivedNanoseconds,
        long deadlineNanoseconds,
        Duration earlierWait) {

    MeshRequest {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(match, "match is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(version, "version is null");
        headers = List.copyOf(headers);
    }

    String attemptId() {
        return client.attemptId();
    }
}
