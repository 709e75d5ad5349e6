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
final class EntryAnswers {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final String attemptId;
    private final long begunNanoseconds;
    private final ConfigurationVersion version;
    private final EntryParts parts;

    EntryAnswers(String attemptId, long begunNanoseconds, ConfigurationVersion version, EntryParts parts) {
        this.attemptId = Objects.requireNonNull(attemptId, "attemptId is null");
        this.begunNanoseconds = begunNanoseconds;
        this.version = Objects.requireNonNull(version, "version is null");
        this.parts = Objects.requireNonNull(parts, "parts is null");
    }

    /** Passes a target's answer on. */
    Response delivered(BufferedResponse answer, int attempts) {
        note(answer.status(), "DELIVERED", attempts, Optional.empty());
        return Response.of(answer.status(), answer.headers(), new Response.Body.Buffered(answer.body()));
    }

    /** Says that the request did not run and won't, and when to come back. */
    Response notRun(String reason, int attempts, Duration retryAfter) {
        note(HttpStatuses.UNAVAILABLE, reason, attempts, Optional.of(retryAfter));
        String seconds = String.format(Locale.ROOT, "%.3f", retryAfter.toMillis() / MILLISECONDS_PER_SECOND);
        return text(HttpStatuses.UNAVAILABLE, reason).withHeader(ProxyHeaders.RETRY_AFTER, seconds);
    }

    /** Refuses a request that no configuration in force allows. */
    Response refused(int status, String reason) {
        note(status, reason, 0, Optional.empty());
        return text(status, reason);
    }

    /** Says that it is not known whether the request ran. */
    Response unknown(int status, String reason, int attempts) {
        note(status, reason, attempts, Optional.empty());
        return text(status, reason);
    }

    private void note(int status, String reason, int attempts, Optional<Duration> retryAfter) {
        Duration taken = Duration.ofNanos(parts.nanoseconds().getAsLong() - begunNanoseconds);
        parts.decisions()
                .record(new Decision.Answered(attemptId, status, reason, attempts, taken, retryAfter, version));
    }

    private static Response text(int status, String reason) {
        byte[] body = (reason + "\n").getBytes(StandardCharsets.UTF_8);
        return Response.of(
                status, List.of(HeaderField.of("Content-Type", "text/plain")), new Response.Body.Buffered(body));
    }
}
