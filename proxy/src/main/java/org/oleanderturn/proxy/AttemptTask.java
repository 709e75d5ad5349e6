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
 * One attempt of a request: sends it to a guard and classifies the response.
 *
 * <p>Invariant: each run returns exactly one result. {@link #run} is called by one thread; {@link #cancel} may be
 * called by any thread.
 */
final class AttemptTask {
    private static final int SERVER_ERROR = 500;
    private static final int FAILURE_BODY_LIMIT_BYTES = 65_536;

    private final RoutedRequest request;
    private final RequestAction.Send send;
    private final Endpoint endpoint;
    private final EntryDependencies dependencies;
    private final Cancellation cancellation = Cancellation.create();

    AttemptTask(RoutedRequest request, RequestAction.Send send, Endpoint endpoint, EntryDependencies dependencies) {
        this.request = Objects.requireNonNull(request, "request is null");
        this.send = Objects.requireNonNull(send, "send is null");
        this.endpoint = Objects.requireNonNull(endpoint, "endpoint is null");
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies is null");
    }

    /** The result of an attempt. */
    sealed interface Result {

        /** A target ran the request and the headers of its response have arrived. */
        record ResponseStarted(AttemptResponse response) implements Result {}

        /**
         * The attempt produced no response to forward; if the target answered with a server error, that response is kept.
         */
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
        return received.fold(failure -> ended(outcomeOf(failure)), response -> classify(response, attempt));
    }

    private Result classify(UpstreamResponse response, Attempt attempt) {
        Optional<RequestOutcome> outcome = response.header(ProxyHeaders.OUTCOME).flatMap(RequestOutcome::parse);
        if (outcome.isEmpty()) {
            response.close();
            return ended(new AttemptOutcome.Unknown());
        }
        return switch (outcome.get()) {
            case RAN -> resultOfRun(response, attempt);
            case NOT_RUN -> ended(notRunOutcome(readToEnd(response)));
            case UNKNOWN -> ended(unknownOutcome(readToEnd(response)));
        };
    }

    private Result resultOfRun(UpstreamResponse response, Attempt attempt) {
        boolean isFailure = response.status() >= SERVER_ERROR
                && request.routingEntry().route().kind().isIdempotent();
        if (isFailure) {
            return new Result.Ended(new AttemptOutcome.Failed(), bufferedResponse(response));
        }
        dependencies.statistics().recordFirstByte(attempt);
        return new Result.ResponseStarted(new AttemptResponse(response, attempt, dependencies.statistics()));
    }

    private static Optional<Response> bufferedResponse(UpstreamResponse response) {
        try (response) {
            return response.readBody(FAILURE_BODY_LIMIT_BYTES)
                    .map(body -> Response.of(
                            response.status(),
                            HeaderValues.forwardable(response.headers()),
                            new Response.Body.Buffered(body)));
        } catch (IOException cause) {
            return Optional.empty();
        }
    }

    /** Reads a response's body to its end, so that its connection can be reused. */
    private static UpstreamResponse readToEnd(UpstreamResponse response) {
        var _ = bufferedResponse(response);
        return response;
    }

    private static AttemptOutcome notRunOutcome(UpstreamResponse response) {
        Duration retryAfter = HeaderValues.retryAfter(response.headers());
        String reasonText = response.header(ProxyHeaders.REASON).orElse("");
        for (NotRunReason reason : NotRunReason.values()) {
            if (reason.name().equals(reasonText)) {
                return new AttemptOutcome.NotRun(reason, retryAfter);
            }
        }
        return new AttemptOutcome.NotRun(NotRunReason.TARGET_DOWN, retryAfter);
    }

    private static AttemptOutcome unknownOutcome(UpstreamResponse response) {
        boolean hasTargetCrashed =
                response.header(ProxyHeaders.REASON).equals(Optional.of(UnknownReason.TARGET_DIED.name()));
        return hasTargetCrashed ? new AttemptOutcome.TargetCrashed() : new AttemptOutcome.Unknown();
    }

    private static AttemptOutcome outcomeOf(UpstreamFailure failure) {
        return switch (failure) {
            case UpstreamFailure.NotSent _ -> new AttemptOutcome.NotRun(NotRunReason.CONNECT_FAILED, Duration.ZERO);
            case UpstreamFailure.ResponseLost _, UpstreamFailure.LimitExceeded _ -> new AttemptOutcome.Unknown();
            case UpstreamFailure.TimedOut _ -> new AttemptOutcome.Unknown();
            case UpstreamFailure.Cancelled _ -> new AttemptOutcome.Cancelled();
        };
    }

    private static Result ended(AttemptOutcome outcome) {
        return new Result.Ended(outcome, Optional.empty());
    }
}
