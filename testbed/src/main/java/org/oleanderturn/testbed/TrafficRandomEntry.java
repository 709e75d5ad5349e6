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
 * The simplest form of an entry: it sends each request to a target drawn at random, and again at once after a failure,
 * without a limit, a budget or a guard.
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
        Optional<Response> last = Optional.empty();
        for (int attempt = 0; attempt < attempts && !isStopped; attempt++) {
            Optional<Response> answer = send(request);
            if (answer.isPresent() && answer.get().status() < SERVER_ERROR) {
                return answer.get();
            }
            last = answer.or(() -> Optional.of(Response.text(504, "text/plain", "no answer\n")));
        }
        return last.orElseGet(() -> Response.text(503, "text/plain", "stopped\n"));
    }

    /** Sends nothing any more. */
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
        try (UpstreamResponse open = received.get()) {
            return open.readBody(BODY_LIMIT_BYTES)
                    .map(body -> Response.of(open.status(), List.of(), new Response.Body.Buffered(body)));
        }
    }
}
