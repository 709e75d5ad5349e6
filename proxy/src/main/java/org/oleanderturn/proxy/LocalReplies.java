package org.oleanderturn.proxy;

import java.time.Duration;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.traffic.LocalReply;
import org.oleanderturn.traffic.NotRunReason;

/**
 * Makes the answers that a node gives of its own: each says what became of the request, why, and when to come back.
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

    /** What a refusal's body says. */
    record Body(String outcome, String reason, Optional<Long> retryAfterMilliseconds) {}

    // -- core operations

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

    /** Returns the answer for a request that was given up, whose attempts gave the stated reason last. */
    static Response givenUp(LocalReply answer, NotRunReason lastReason) {
        return switch (answer.status()) {
            case NOT_RUN -> notRun(lastReason, answer.retryAfter().orElse(Duration.ofSeconds(1)));
            case FAILED -> unknown(UnknownReason.FAILED, answer.retryAfter());
            case OUTCOME_UNKNOWN, TRUNCATED, CANCELLED -> unknown(UnknownReason.ANSWER_LOST, answer.retryAfter());
        };
    }

    /** Returns the target's own failure, with the time to come back if the target gave none. */
    static Response targetFailure(Response failure, LocalReply answer) {
        Response ran = failure.withHeader(ProxyHeaders.OUTCOME, RequestOutcome.RAN.text());
        boolean isStated =
                HeaderField.find(failure.headers(), ProxyHeaders.RETRY_AFTER).isPresent();
        return isStated
                ? ran
                : answer.retryAfter().map(span -> withRetryAfter(ran, span)).orElse(ran);
    }

    private static Response reply(int status, RequestOutcome outcome, String reason, Optional<Duration> retryAfter) {
        Body body = new Body(outcome.text(), reason, retryAfter.map(Duration::toMillis));
        Response answer = Response.json(status, body)
                .withHeader(ProxyHeaders.OUTCOME, outcome.text())
                .withHeader(ProxyHeaders.REASON, reason);
        return retryAfter.map(span -> withRetryAfter(answer, span)).orElse(answer);
    }

    private static Response withRetryAfter(Response answer, Duration span) {
        long milliseconds = Math.max(1, span.toMillis());
        long seconds = Math.ceilDiv(milliseconds, MILLISECONDS_PER_SECOND);
        return answer.withHeader(ProxyHeaders.RETRY_AFTER, seconds)
                .withHeader(ProxyHeaders.RETRY_AFTER_MILLISECONDS, milliseconds);
    }

    /** Returns the name of a type of failure, as it stands in {@link ProxyHeaders#REASON}. */
    static String reasonOf(Object failure) {
        return failure.getClass()
                .getSimpleName()
                .replaceAll("([a-z])([A-Z])", "$1_$2")
                .toUpperCase(Locale.ROOT);
    }
}
