package org.oleanderturn.testbed;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.oleanderturn.model.Address;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.OutboundRequest;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.proxy.SendPolicy;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.proxy.UpstreamFailure;
import org.oleanderturn.proxy.UpstreamResponse;

/**
 * Baseline for the entry: sends each request to a random target and retries at once after a failure, without concurrency
 * limits, retry budgets or guards.
 *
 * <p>Thread safe.
 */
final class TrafficRandomEntry implements RequestHandler {
    private static final int BODY_LIMIT_BYTES = 4_000_000;
    private static final int SERVER_ERROR = 500;

    private final List<Address> targets;
    private final UpstreamClient client;
    private final int attempts;
    private final Duration timeout;
    private volatile boolean isStopped;

    TrafficRandomEntry(List<Address> targets, UpstreamClient client, int attempts, Duration timeout) {
        this.targets = List.copyOf(targets);
        this.client = Objects.requireNonNull(client, "client is null");
        this.attempts = attempts;
        this.timeout = Objects.requireNonNull(timeout, "timeout is null");
    }

    @Override
    public Response handle(InboundRequest request) throws IOException {
        Optional<Response> lastResponse = Optional.empty();
        for (int attempt = 0; attempt < attempts && !isStopped; attempt++) {
            Optional<Response> response = send(request);
            if (response.isPresent() && response.get().status() < SERVER_ERROR) {
                return response.get();
            }
            lastResponse = response.or(() -> Optional.of(Response.text(504, "text/plain", "no answer\n")));
        }
        return lastResponse.orElseGet(() -> Response.text(503, "text/plain", "stopped\n"));
    }

    /** Stops further attempts; requests that are not answered yet end with the last response or 503. */
    void stop() {
        isStopped = true;
    }

    private Optional<Response> send(InboundRequest request) throws IOException {
        Address target = targets.get(ThreadLocalRandom.current().nextInt(targets.size()));
        OutboundRequest outbound = new OutboundRequest(
                request.method(), request.path(), List.of(), new byte[0], SendPolicy.POOLED, timeout, timeout);
        Either<UpstreamFailure, UpstreamResponse> received = client.send(target, outbound, Cancellation.create());
        if (received.isLeft()) {
            return Optional.empty();
        }
        try (UpstreamResponse response = received.get()) {
            return response.readBody(BODY_LIMIT_BYTES)
                    .map(body -> Response.of(response.status(), List.of(), new Response.Body.Buffered(body)));
        }
    }
}
