package org.oleanderturn.testbed;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.oleanderturn.model.Address;
import org.oleanderturn.proxy.Answer;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.Delivery;
import org.oleanderturn.proxy.ForwardFailure;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.OutboundRequest;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.UpstreamAnswer;
import org.oleanderturn.proxy.UpstreamClient;

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
    public Answer handle(InboundRequest request) throws IOException {
        Optional<Answer> last = Optional.empty();
        for (int attempt = 0; attempt < attempts && !isStopped; attempt++) {
            Optional<Answer> answer = send(request);
            if (answer.isPresent() && answer.get().status() < SERVER_ERROR) {
                return answer.get();
            }
            last = answer.or(() -> Optional.of(Answer.text(504, "text/plain", "no answer\n")));
        }
        return last.orElseGet(() -> Answer.text(503, "text/plain", "stopped\n"));
    }

    /** Sends nothing any more. */
    void stop() {
        isStopped = true;
    }

    private Optional<Answer> send(InboundRequest request) throws IOException {
        Address target = targets.get(ThreadLocalRandom.current().nextInt(targets.size()));
        OutboundRequest outbound = new OutboundRequest(
                request.method(), request.path(), List.of(), new byte[0], Delivery.POOLED, timeout, timeout);
        Either<ForwardFailure, UpstreamAnswer> received = client.send(target, outbound, Cancellation.create());
        if (received.isLeft()) {
            return Optional.empty();
        }
        try (UpstreamAnswer open = received.get()) {
            return open.readBody(BODY_LIMIT_BYTES)
                    .map(body -> Answer.of(open.status(), List.of(), new Answer.Body.Whole(body)));
        }
    }
}
