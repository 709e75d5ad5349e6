package org.oleanderturn.mesh;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.ProxyHeaders;
import org.oleanderturn.proxy.Response;

/**
 * Builds the responses to one client's request and records each in the decision log.
 *
 * <p>Used by one thread.
 */
final class ClientResponses {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    /** When a client may retry at a node that lacks a version or can't confirm its own; a transfer takes about as long. */
    private static final Duration VERSION_RETRY_AFTER = Duration.ofMillis(400);

    private final String attemptId;
    private final Duration readDelay;
    private final long receivedNanoseconds;
    private final ConfigurationVersion version;
    private final MeshEntryDependencies dependencies;

    ClientResponses(
            String attemptId,
            Duration readDelay,
            long receivedNanoseconds,
            ConfigurationVersion version,
            MeshEntryDependencies dependencies) {
        this.attemptId = Objects.requireNonNull(attemptId, "attemptId is null");
        this.readDelay = Objects.requireNonNull(readDelay, "readDelay is null");
        this.receivedNanoseconds = receivedNanoseconds;
        this.version = Objects.requireNonNull(version, "version is null");
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies is null");
    }

    /** Returns the responses to the same request when it is routed by another version. */
    ClientResponses withVersion(ConfigurationVersion other) {
        return new ClientResponses(attemptId, readDelay, receivedNanoseconds, other, dependencies);
    }

    /** Returns a target's response to pass on to the client. */
    Response delivered(BufferedResponse response, int attempts) {
        logResponse(response.status(), Decision.Answered.DELIVERED, attempts, Optional.empty());
        return Response.of(response.status(), response.headers(), new Response.Body.Buffered(response.body()));
    }

    /** Returns a 503 that says that the request did not run and will not, and when to retry. */
    Response notRun(String reason, int attempts, Duration retryAfter) {
        return refusedFor(HttpStatuses.SERVICE_UNAVAILABLE, reason, attempts, retryAfter);
    }

    /** Returns a 429 that says that the request did not run and will not, and when its organisation may send another. */
    Response overLimit(Duration retryAfter) {
        return refusedFor(HttpStatuses.TOO_MANY_REQUESTS, "LIMIT_EXCEEDED", 0, retryAfter);
    }

    private Response refusedFor(int status, String reason, int attempts, Duration retryAfter) {
        logResponse(status, reason, attempts, Optional.of(retryAfter));
        String seconds = String.format(Locale.ROOT, "%.3f", retryAfter.toMillis() / MILLISECONDS_PER_SECOND);
        return textResponse(status, reason).withHeader(ProxyHeaders.RETRY_AFTER, seconds);
    }

    /** Returns a refusal of a request that has no route or is too large. */
    Response refused(int status, String reason) {
        logResponse(status, reason, 0, Optional.empty());
        return textResponse(status, reason);
    }

    /** Returns a refusal of a request that the configuration does not allow, and that did not run and will not. */
    Response denied(RoutingDenial denial, int attempts) {
        ClientResponses versioned = withVersion(denial.version());
        return switch (denial) {
            case RoutingDenial.Forbidden forbidden -> {
                versioned.logResponse(forbidden.status(), forbidden.reason(), attempts, Optional.empty());
                yield textResponse(forbidden.status(), forbidden.reason());
            }
            case RoutingDenial.Undetermined undetermined ->
                versioned.notRun(undetermined.reason(), attempts, VERSION_RETRY_AFTER);
        };
    }

    /** Returns a response that leaves open whether the request ran. */
    Response unknown(int status, String reason, int attempts) {
        logResponse(status, reason, attempts, Optional.empty());
        return textResponse(status, reason);
    }

    private void logResponse(int status, String reason, int attempts, Optional<Duration> retryAfter) {
        Duration duration = Duration.ofNanos(dependencies.clockNanoseconds().getAsLong() - receivedNanoseconds);
        dependencies
                .decisionLog()
                .record(new Decision.Answered(
                        attemptId, status, reason, attempts, readDelay, duration, retryAfter, version));
    }

    private static Response textResponse(int status, String reason) {
        byte[] body = (reason + "\n").getBytes(StandardCharsets.UTF_8);
        return Response.of(
                status, List.of(HeaderField.of("Content-Type", "text/plain")), new Response.Body.Buffered(body));
    }
}
