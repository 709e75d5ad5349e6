package org.oleanderturn.store;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.hc.core5.http.Method;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.http.RawPeer;
import org.oleanderturn.http.ResponseSamples;
import org.oleanderturn.model.Address;

/** What a store in trouble answers, as its client takes it. */
@Timeout(60)
final class StoreResponseTest {
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nStore-Era: 3\r\nContent-Length: 2\r\n\r\n{}";

    private static final String CHUNKED_RESPONSE =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n000a\r\n0123456789\r\n002\r\nab\r\n0\r\nName: value\r\n\r\n";

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

    @AfterEach
    void close() {
        executor.shutdownNow();
    }

    /** The response of a renewed lease is its status alone, so a head that breaks off would renew one that has ended. */
    @Test
    void shouldNotTakeAResponseForWholeWhenItIsCutAfterAnyByte() throws IOException {
        for (int length = 0; length < RESPONSE.length(); length++) {
            String sent = RESPONSE.substring(0, length);
            assertWithMessage("cut after %s", sent).that(call(sent).isLeft()).isTrue();
        }
        assertWithMessage("whole").that(call(RESPONSE).get().status()).isEqualTo(200);
    }

    /** A write that a store in trouble answers with such a status may have taken effect or not. */
    @Test
    void shouldNotTakeAResponseWhoseStatusIsNoneOfTheProtocol() throws IOException {
        for (String status : List.of("000", "99", "600", "999", "1000", "-200", "OK", "")) {
            assertWithMessage("status %s", status)
                    .that(call(RESPONSE.replace("200", status)).getLeft())
                    .isInstanceOf(StoreFailure.Undetermined.class);
        }
    }

    /** A write that a store in trouble answers so may have taken effect or not. */
    @Test
    void shouldNotTakeAResponseThatIsMalformed() throws IOException {
        List<String> taken = new ArrayList<>();
        for (String sample : ResponseSamples.malformed()) {
            Either<StoreFailure, StoreResponse> response = call(sample);
            if (response.isRight() || !(response.getLeft() instanceof StoreFailure.Undetermined)) {
                taken.add(ResponseSamples.visible(sample));
            }
        }
        assertThat(taken).isEmpty();
    }

    /** A size that breaks off is a smaller one, and the end of the connection is no end of a chunk. */
    @Test
    void shouldNotTakeAResponseInChunksForWholeWhenItIsCutAfterAnyByte() throws IOException {
        for (int length = 0; length < CHUNKED_RESPONSE.length(); length++) {
            String sent = CHUNKED_RESPONSE.substring(0, length);
            assertWithMessage("cut after %s", sent).that(call(sent).isLeft()).isTrue();
        }
        assertWithMessage("whole").that(call(CHUNKED_RESPONSE).get().body()).hasLength(12);
    }

    @Test
    void shouldTakeAResponseThatHttpAllows() throws IOException {
        for (String sample : ResponseSamples.wellFormed()) {
            assertTaken(sample, ResponseSamples.BODY);
        }
        for (String sample : ResponseSamples.delimitedByTheConnection()) {
            assertTaken(sample, ResponseSamples.BODY);
        }
        for (String sample : ResponseSamples.withoutBody()) {
            assertTaken(sample, "");
        }
    }

    @Test
    void shouldTakeTheNextResponseWhenOneWasMalformed() throws IOException {
        Queue<String> answers =
                new ConcurrentLinkedQueue<>(List.of("HTTP/1.1 200 OK\r\nNa me: value\r\n\r\n", RESPONSE));
        try (RawPeer store = RawPeer.keepingConnections(_ -> answers.remove());
                StoreHttpClient client = client(store.port())) {
            assertThat(client.call(Method.POST, "/lease", Optional.empty()).isLeft())
                    .isTrue();
            assertThat(client.call(Method.POST, "/lease", Optional.empty())
                            .get()
                            .status())
                    .isEqualTo(200);
        }
    }

    private void assertTaken(String sample, String body) throws IOException {
        Either<StoreFailure, StoreResponse> response = call(sample);
        assertWithMessage(ResponseSamples.visible(sample))
                .that(response.map(received -> new String(received.body(), StandardCharsets.US_ASCII))
                        .getOrElseGet(Object::toString))
                .isEqualTo(body);
        assertWithMessage(ResponseSamples.visible(sample))
                .that(response.get().status())
                .isEqualTo(ResponseSamples.finalStatus(sample));
    }

    private static StoreHttpClient client(int port) {
        return StoreHttpClient.of(StoreSettings.of(Address.of("127.0.0.1", port)), Duration.ofSeconds(10));
    }

    private Either<StoreFailure, StoreResponse> call(String response) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            executor.execute(() -> answer(server, response));
            try (StoreHttpClient client = client(server.getLocalPort())) {
                return client.call(Method.POST, "/lease", Optional.empty());
            }
        }
    }

    private static void answer(ServerSocket server, String response) {
        try (Socket socket = server.accept()) {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) socket.getInputStream().read());
            }
            socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException closed) {
            // The client closes a connection whose response broke off.
        }
    }
}
