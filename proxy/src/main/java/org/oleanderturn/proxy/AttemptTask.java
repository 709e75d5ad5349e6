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

    private final RoutedRequest request;
    private final RequestAction.Send send;
    private final Endpoint endpoint;
    private final EntryDependencies dependencies;
    private final Cancellation cancellation = Cancellation.create();

    AttemptTask(RoutedRequest request, RequestAction.Send send, Endpoint endpoint, EntryDependencies parts) {
        this.request = Objects.requireNonNull(request, "request is null");
        this.send = Objects.requireNonNull(send, "send is null");
        this.endpoint = Objects.requireNonNull(endpoint, "endpoint is null");
        this.dependencies = Objects.requireNonNull(parts, "parts is null");
    }

    /** What came of an attempt. */
    sealed interface Result {

        /** A target ran the request and its answer has begun. */
        record ResponseStarted(AttemptResponse response) implements Result {}

        /** No answer that is passed on came; a failure's own answer is kept. */
        record Ended(AttemptOutcome outcome, Optional<Response> failureResponse) implements Result {}
    }

    void cancel() {
        cancellation.cancel();
    }

    Result run() {
        UpstreamStatistics statistics = dependencies.statistics();
        Attempt attempt = statistics.begin(endpoint);
        Result result = exchange(attempt);
        if (result instanceof Result.Ended ended) {
            statistics.finish(attempt, ended.outcome());
        }
        return result;
    }

    private Result exchange(Attempt attempt) {
        Either<UpstreamFailure, UpstreamResponse> received =
                dependencies.client().send(endpoint.address(), request.toGuard(send), cancellation);
        return received.fold(failure -> ended(outcomeOf(failure)), answer -> classify(answer, attempt));
    }

    private Result classify(UpstreamResponse answer, Attempt attempt) {
        Optional<RequestOutcome> outcome = answer.header(ProxyHeaders.OUTCOME).flatMap(RequestOutcome::parse);
        if (outcome.isEmpty()) {
            answer.close();
            return ended(new AttemptOutcome.Unknown());
        }
        return switch (outcome.get()) {
            case RAN -> resultOfRun(answer, attempt);
            case NOT_RUN -> ended(notRunOutcome(readToEnd(answer)));
            case UNKNOWN -> ended(unknownOutcome(readToEnd(answer)));
        };
    }

    private Result resultOfRun(UpstreamResponse answer, Attempt attempt) {
        boolean isFailure = answer.status() >= SERVER_ERROR
                && request.routingEntry().route().kind().isIdempotent();
        if (isFailure) {
            return new Result.Ended(new AttemptOutcome.Failed(), bufferedResponse(answer));
        }
        dependencies.statistics().recordFirstByte(attempt);
        return new Result.ResponseStarted(new AttemptResponse(answer, attempt, dependencies.statistics()));
    }

    private static Optional<Response> bufferedResponse(UpstreamResponse answer) {
        try (answer) {
            return answer.readBody(FAILURE_BODY_LIMIT_BYTES)
                    .map(body -> Response.of(
                            answer.status(),
                            HeaderValues.forwardable(answer.headers()),
                            new Response.Body.Buffered(body)));
        } catch (IOException cause) {
            return Optional.empty();
        }
    }

    /** Reads the rest of a refusal, so that its connection can be used again. */
    private static UpstreamResponse readToEnd(UpstreamResponse answer) {
        var _ = bufferedResponse(answer);
        return answer;
    }

    private static AttemptOutcome notRunOutcome(UpstreamResponse answer) {
        Duration retryAfter = HeaderValues.retryAfter(answer.headers());
        String text = answer.header(ProxyHeaders.REASON).orElse("");
        for (NotRunReason reason : NotRunReason.values()) {
            if (reason.name().equals(text)) {
                return new AttemptOutcome.NotRun(reason, retryAfter);
            }
        }
        return new AttemptOutcome.NotRun(NotRunReason.TARGET_DOWN, retryAfter);
    }

    private static AttemptOutcome unknownOutcome(UpstreamResponse answer) {
        boolean isDeath = answer.header(ProxyHeaders.REASON).equals(Optional.of(UnknownReason.TARGET_DIED.name()));
        return isDeath ? new AttemptOutcome.TargetCrashed() : new AttemptOutcome.Unknown();
    }

    private static AttemptOutcome outcomeOf(UpstreamFailure failure) {
        return switch (failure) {
            case UpstreamFailure.NotSent _ -> new AttemptOutcome.NotRun(NotRunReason.CONNECT_FAILED, Duration.ZERO);
            case UpstreamFailure.ResponseLost _ -> new AttemptOutcome.Unknown();
            case UpstreamFailure.TimedOut _ -> new AttemptOutcome.Unknown();
            case UpstreamFailure.Cancelled _ -> new AttemptOutcome.Cancelled();
        };
    }

    private static Result ended(AttemptOutcome outcome) {
        return new Result.Ended(outcome, Optional.empty());
    }
}
