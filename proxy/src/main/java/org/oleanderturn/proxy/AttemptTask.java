package org.oleanderturn.proxy;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.traffic.Attempt;
import org.oleanderturn.traffic.AttemptOutcome;
import org.oleanderturn.traffic.NotRunReason;
import org.oleanderturn.traffic.RequestAction;
import org.oleanderturn.traffic.UpstreamStatistics;

/**
 * One attempt of a request: sends it to a guard and tells what came back.
 *
 * <p>Invariant: exactly one result is given. Runs on one thread; cancelling it is thread safe.
 */
final class AttemptTask {
    private static final int SERVER_ERROR = 500;
    private static final int FAILURE_BODY_LIMIT_BYTES = 65_536;

    private final CourseRequest request;
    private final RequestAction.Send send;
    private final Endpoint endpoint;
    private final EntryParts parts;
    private final Cancellation cancellation = Cancellation.create();

    AttemptTask(CourseRequest request, RequestAction.Send send, Endpoint endpoint, EntryParts parts) {
        this.request = Objects.requireNonNull(request, "request is null");
        this.send = Objects.requireNonNull(send, "send is null");
        this.endpoint = Objects.requireNonNull(endpoint, "endpoint is null");
        this.parts = Objects.requireNonNull(parts, "parts is null");
    }

    /** What came of an attempt. */
    sealed interface Result {

        /** A target ran the request and its answer has begun. */
        record Answering(AttemptAnswer answer) implements Result {}

        /** No answer that is passed on came; a failure's own answer is kept. */
        record Ended(AttemptOutcome outcome, Optional<Answer> failure) implements Result {}
    }

    void cancel() {
        cancellation.cancel();
    }

    Result run() {
        UpstreamStatistics statistics = parts.statistics();
        Attempt attempt = statistics.begin(endpoint);
        Result result = exchange(attempt);
        if (result instanceof Result.Ended ended) {
            statistics.finish(attempt, ended.outcome());
        }
        return result;
    }

    private Result exchange(Attempt attempt) {
        Either<ForwardFailure, UpstreamAnswer> received =
                parts.client().send(endpoint.address(), request.toGuard(send), cancellation);
        return received.fold(failure -> ended(outcomeOf(failure)), answer -> classify(answer, attempt));
    }

    private Result classify(UpstreamAnswer answer, Attempt attempt) {
        Optional<RequestOutcome> outcome = answer.header(ProxyHeaders.OUTCOME).flatMap(RequestOutcome::parse);
        if (outcome.isEmpty()) {
            answer.close();
            return ended(new AttemptOutcome.Unknown());
        }
        return switch (outcome.get()) {
            case RAN -> ran(answer, attempt);
            case NOT_RUN -> ended(notRun(drained(answer)));
            case UNKNOWN -> ended(unknown(drained(answer)));
        };
    }

    private Result ran(UpstreamAnswer answer, Attempt attempt) {
        boolean isFailure = answer.status() >= SERVER_ERROR
                && request.entry().route().kind().isIdempotent();
        if (isFailure) {
            return new Result.Ended(new AttemptOutcome.Failed(), buffered(answer));
        }
        parts.statistics().recordFirstByte(attempt);
        return new Result.Answering(new AttemptAnswer(answer, attempt, parts.statistics()));
    }

    private static Optional<Answer> buffered(UpstreamAnswer answer) {
        try (answer) {
            return answer.readBody(FAILURE_BODY_LIMIT_BYTES)
                    .map(body -> Answer.of(
                            answer.status(), HeaderValues.forwarded(answer.headers()), new Answer.Body.Whole(body)));
        } catch (IOException cause) {
            return Optional.empty();
        }
    }

    /** Reads the rest of a refusal, so that its connection can be used again. */
    private static UpstreamAnswer drained(UpstreamAnswer answer) {
        var _ = buffered(answer);
        return answer;
    }

    private static AttemptOutcome notRun(UpstreamAnswer answer) {
        Duration retryAfter = HeaderValues.retryAfter(answer.headers());
        String text = answer.header(ProxyHeaders.REASON).orElse("");
        for (NotRunReason reason : NotRunReason.values()) {
            if (reason.name().equals(text)) {
                return new AttemptOutcome.NotRun(reason, retryAfter);
            }
        }
        return new AttemptOutcome.NotRun(NotRunReason.TARGET_DOWN, retryAfter);
    }

    private static AttemptOutcome unknown(UpstreamAnswer answer) {
        boolean isDeath = answer.header(ProxyHeaders.REASON).equals(Optional.of(UnknownReason.TARGET_DIED.name()));
        return isDeath ? new AttemptOutcome.TargetCrashed() : new AttemptOutcome.Unknown();
    }

    private static AttemptOutcome outcomeOf(ForwardFailure failure) {
        return switch (failure) {
            case ForwardFailure.NotSent _ -> new AttemptOutcome.NotRun(NotRunReason.CONNECT_FAILED, Duration.ZERO);
            case ForwardFailure.AnswerLost _ -> new AttemptOutcome.Unknown();
            case ForwardFailure.TimedOut _ -> new AttemptOutcome.Unknown();
            case ForwardFailure.Cancelled _ -> new AttemptOutcome.Cancelled();
        };
    }

    private static Result ended(AttemptOutcome outcome) {
        return new Result.Ended(outcome, Optional.empty());
    }
}
