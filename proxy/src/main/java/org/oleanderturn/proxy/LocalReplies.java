package org.oleanderturn.proxy;

import java.time.Duration;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.traffic.LocalReply;
import org.oleanderturn.traffic.NotRunReason;

/**
 * Creates the responses that a node generates itself. Each states the outcome of the request, the reason, and when to
 * retry.
 *
 * <p>Stateless and thread safe.
 */
final class LocalReplies {
    private static final long MILLISECONDS_PER_SECOND = 1_000;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_LARGE = 413;
    private static final int UNPROCESSABLE = 422;
    private static final int HEADERS_TOO_LARGE = 431;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private LocalReplies() {}

    /** The JSON body of a local reply. */
    record Body(String outcome, String reason, Optional<Long> retryAfterMilliseconds) {}

    // -- replies

    static Response notRun(NotRunReason reason, Duration retryAfter) {
        Objects.requireNonNull(reason, "reason is null");
        return reply(UNAVAILABLE, RequestOutcome.NOT_RUN, reason.name(), Optional.of(retryAfter));
    }

    static Response notRun(RequestFault fault) {
        int status = switch (fault) {
            case RequestFault.NoRoute _ -> NOT_FOUND;
            case RequestFault.NotReady _ -> UNAVAILABLE;
            case RequestFault.WrongService _ -> UNAVAILABLE;
            case RequestFault.BodyTooLarge _ -> TOO_LARGE;
            case RequestFault.BodiesTooLarge _ -> UNAVAILABLE;
            case RequestFault.TooManyHeaders _ -> HEADERS_TOO_LARGE;
            case RequestFault.MissingIdempotencyKey _ -> BAD_REQUEST;
            case RequestFault.MalformedIdempotencyKey _ -> BAD_REQUEST;
            case RequestFault.IdempotencyKeyReused _ -> UNPROCESSABLE;
            case RequestFault.MalformedHeader _ -> BAD_REQUEST;
        };
        return reply(status, RequestOutcome.NOT_RUN, fault.name(), fault.retryAfter());
    }

    static Response unknown(UnknownReason reason, Optional<Duration> retryAfter) {
        int status = switch (reason) {
            case TIMED_OUT -> GATEWAY_TIMEOUT;
            case CLAIM_IN_PROGRESS -> CONFLICT;
            case ANSWER_LOST, TARGET_DIED, DUPLICATE_CLAIM, FAILED -> BAD_GATEWAY;
        };
        return reply(status, RequestOutcome.UNKNOWN, reason.name(), retryAfter);
    }

    /** Returns the reply to a request that was given up; the last not-run reason is stated if no attempt ran. */
    static Response givenUp(LocalReply reply, NotRunReason lastNotRunReason) {
        return switch (reply.status()) {
            case NOT_RUN -> notRun(lastNotRunReason, reply.retryAfter().orElse(Duration.ofSeconds(1)));
            case FAILED -> unknown(UnknownReason.FAILED, reply.retryAfter());
            case OUTCOME_UNKNOWN, TRUNCATED, CANCELLED -> unknown(UnknownReason.ANSWER_LOST, reply.retryAfter());
        };
    }

    /** Returns the target's error response; adds the retry delay of the reply if the target stated none. */
    static Response targetFailure(Response failure, LocalReply reply) {
        Response responseWithOutcome = failure.withHeader(ProxyHeaders.OUTCOME, RequestOutcome.RAN.text());
        boolean hasRetryAfter =
                HeaderField.find(failure.headers(), ProxyHeaders.RETRY_AFTER).isPresent();
        return hasRetryAfter
                ? responseWithOutcome
                : reply.retryAfter()
                        .map(delay -> withRetryAfter(responseWithOutcome, delay))
                        .orElse(responseWithOutcome);
    }

    private static Response reply(int status, RequestOutcome outcome, String reason, Optional<Duration> retryAfter) {
        Body body = new Body(outcome.text(), reason, retryAfter.map(Duration::toMillis));
        Response response = Response.json(status, body)
                .withHeader(ProxyHeaders.OUTCOME, outcome.text())
                .withHeader(ProxyHeaders.REASON, reason);
        return retryAfter.map(delay -> withRetryAfter(response, delay)).orElse(response);
    }

    private static Response withRetryAfter(Response response, Duration delay) {
        long milliseconds = Math.max(1, delay.toMillis());
        long seconds = Math.ceilDiv(milliseconds, MILLISECONDS_PER_SECOND);
        return response.withHeader(ProxyHeaders.RETRY_AFTER, seconds)
                .withHeader(ProxyHeaders.RETRY_AFTER_MILLISECONDS, milliseconds);
    }

    /**
     * Returns the simple name of the class of a fault in upper snake case, the value of {@link ProxyHeaders#REASON}.
     */
    static String reasonOf(Object fault) {
        return fault.getClass()
                .getSimpleName()
                .replaceAll("([a-z])([A-Z])", "$1_$2")
                .toUpperCase(Locale.ROOT);
    }
}
