package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Sends requests over connections that take long to get, by an injected clock. */
final class OutboundTimeLimitTest {
    private static final String TIME_LIMIT = "Time-Limit";
    private static final int LIMIT_BYTES = 1_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final OutboundRequest REQUEST = new OutboundRequest(
                    "GET",
                    "/path",
                    List.of(HeaderField.of(TIME_LIMIT, TIMEOUT.toMillis()), HeaderField.of("Other", 7)),
                    new byte[0],
                    SendPolicy.POOLED,
                    TIMEOUT,
                    TIMEOUT)
            .withTimeLimitHeader(TIME_LIMIT);

    private final List<String> received = new CopyOnWriteArrayList<>();
    private final HttpListener server = HttpListener.start("127.0.0.1", 0, this::handle, ListenerLimits.defaults())
            .get();

    private Response handle(InboundRequest request) {
        received.add(request.header(TIME_LIMIT).orElse(""));
        return Response.text(200, "text/plain", "done");
    }

    @AfterEach
    void close() {
        server.close();
    }

    @Test
    void shouldTellThePeerWhatIsLeftWhenGettingAConnectionTookLong() {
        Either<UpstreamFailure, BufferedResponse> response = sendAfter(Duration.ofMillis(700));

        assertThat(response.isRight()).isTrue();
        assertThat(received).containsExactly("4300");
    }

    @Test
    void shouldNotSendWhenGettingAConnectionTookTheWholeTimeLimit() {
        Either<UpstreamFailure, BufferedResponse> response = sendAfter(TIMEOUT);

        assertThat(response.getLeft()).isInstanceOf(UpstreamFailure.NotSent.class);
        assertThat(received).isEmpty();
    }

    @Test
    void shouldKeepARequestThatTellsNoTimeLimit() {
        OutboundRequest request = new OutboundRequest(
                "GET", "/path", REQUEST.headers(), new byte[0], SendPolicy.POOLED, TIMEOUT, TIMEOUT);

        assertThat(request.after(TIMEOUT)).isEqualTo(request);
        assertThat(request.isExpired()).isFalse();
    }

    @Test
    void shouldKeepAHeaderWhenItStatesNoTime() {
        OutboundRequest request = new OutboundRequest(
                        "GET",
                        "/path",
                        List.of(HeaderField.of(TIME_LIMIT, "soon")),
                        new byte[0],
                        SendPolicy.POOLED,
                        TIMEOUT,
                        TIMEOUT)
                .withTimeLimitHeader(TIME_LIMIT);

        OutboundRequest later = request.after(Duration.ofSeconds(1));

        assertThat(HeaderField.find(later.headers(), TIME_LIMIT)).isEqualTo(Optional.of("soon"));
        assertThat(later.responseTimeout()).isEqualTo(Duration.ofSeconds(4));
    }

    /** Sends the request with a client whose clock moves on while it gets the connection. */
    private Either<UpstreamFailure, BufferedResponse> sendAfter(Duration connecting) {
        AtomicInteger readings = new AtomicInteger();
        try (UpstreamClient client =
                UpstreamClient.of(1, () -> readings.getAndIncrement() == 0 ? 0 : connecting.toNanos())) {
            return client.exchange(
                    server.address(), REQUEST, ResponseMatcher.framed(), LIMIT_BYTES, Cancellation.create());
        }
    }
}
