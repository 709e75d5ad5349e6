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
 * Makes the answers to one client's request, and notes each in the decision log.
 *
 * <p>Used by one thread.
 */
final class ClientAnswers {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final String attemptId;
    private final long receivedNanoseconds;
    private final ConfigurationVersion version;
    private final MeshEntryDependencies dependencies;

    ClientAnswers(String attemptId, long begunNanoseconds, ConfigurationVersion version, MeshEntryDependencies parts) {
        this.attemptId = Objects.requireNonNull(attemptId, "attemptId is null");
        this.receivedNanoseconds = begunNanoseconds;
        this.version = Objects.requireNonNull(version, "version is null");
        this.dependencies = Objects.requireNonNull(parts, "parts is null");
    }

    /** Passes a target's answer on. */
    Response delivered(BufferedResponse answer, int attempts) {
        logAnswer(answer.status(), "DELIVERED", attempts, Optional.empty());
        return Response.of(answer.status(), answer.headers(), new Response.Body.Buffered(answer.body()));
    }

    /** Says that the request did not run and won't, and when to come back. */
    Response notRun(String reason, int attempts, Duration retryAfter) {
        logAnswer(HttpStatuses.SERVICE_UNAVAILABLE, reason, attempts, Optional.of(retryAfter));
        String seconds = String.format(Locale.ROOT, "%.3f", retryAfter.toMillis() / MILLISECONDS_PER_SECOND);
        return textAnswer(HttpStatuses.SERVICE_UNAVAILABLE, reason).withHeader(ProxyHeaders.RETRY_AFTER, seconds);
    }

    /** Refuses a request that no configuration in force allows. */
    Response refused(int status, String reason) {
        logAnswer(status, reason, 0, Optional.empty());
        return textAnswer(status, reason);
    }

    /** Says that it is not known whether the request ran. */
    Response unknown(int status, String reason, int attempts) {
        logAnswer(status, reason, attempts, Optional.empty());
        return textAnswer(status, reason);
    }

    private void logAnswer(int status, String reason, int attempts, Optional<Duration> retryAfter) {
        Duration taken = Duration.ofNanos(dependencies.clockNanoseconds().getAsLong() - receivedNanoseconds);
        dependencies
                .decisionLog()
                .record(new Decision.Answered(attemptId, status, reason, attempts, taken, retryAfter, version));
    }

    private static Response textAnswer(int status, String reason) {
        byte[] body = (reason + "\n").getBytes(StandardCharsets.UTF_8);
        return Response.of(
                status, List.of(HeaderField.of("Content-Type", "text/plain")), new Response.Body.Buffered(body));
    }
}
