package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oleanderturn.model.Address;

/** A peer in trouble that writes a status which HTTP does not have must not be taken to have answered. */
@Timeout(60)
final class ResponseStatusTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final UpstreamClient client = UpstreamClient.of(2);

    @AfterEach
    void close() {
        client.close();
        executor.shutdownNow();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"000", "0", "99", "099", "600", "999", "1000", "20", "2000", "-200", "+200", "OK", "2x0", ""})
    void shouldLoseTheResponseWhenItsStatusIsNoneOfTheProtocol(String status) throws IOException {
        Either<UpstreamFailure, BufferedResponse> response = exchange(status);
        assertThat(response.getLeft()).isInstanceOf(UpstreamFailure.ResponseLost.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"200", "299", "404", "500", "599"})
    void shouldTakeTheResponseWhenItsStatusIsOneOfTheProtocol(String status) throws IOException {
        assertThat(exchange(status).get().status()).isEqualTo(Integer.parseInt(status));
    }

    private Either<UpstreamFailure, BufferedResponse> exchange(String status) throws IOException {
        try (ServerSocket peer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            executor.execute(() -> answer(peer, "HTTP/1.1 " + status + " \r\nContent-Length: 2\r\n\r\nok"));
            OutboundRequest request =
                    new OutboundRequest("GET", "/x", List.of(), new byte[0], SendPolicy.POOLED, TIMEOUT, TIMEOUT);
            return client.exchange(
                    Address.of("127.0.0.1", peer.getLocalPort()),
                    request,
                    ResponseMatcher.matching(_ -> true),
                    1_000,
                    Cancellation.create());
        }
    }

    /** Keeps the connection open behind the response, as a target does. */
    private static void answer(ServerSocket peer, String text) {
        try (Socket socket = peer.accept()) {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) socket.getInputStream().read());
            }
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            var _ = socket.getInputStream().readAllBytes();
        } catch (IOException closedByClient) {
            // The client closes a connection whose response it does not take.
        }
    }
}
