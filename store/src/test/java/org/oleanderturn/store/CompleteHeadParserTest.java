package org.oleanderturn.store;

import static com.google.common.truth.Truth.assertWithMessage;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.hc.core5.http.Method;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.model.Address;

@Timeout(60)
final class CompleteHeadParserTest {
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nStore-Era: 3\r\nContent-Length: 2\r\n\r\n{}";

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

    private Either<StoreFailure, StoreResponse> call(String response) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            executor.execute(() -> answer(server, response));
            StoreSettings settings = StoreSettings.of(Address.of("127.0.0.1", server.getLocalPort()));
            try (StoreHttpClient client = StoreHttpClient.of(settings, Duration.ofSeconds(10))) {
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
            socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException closed) {
            // The client closes a connection whose response broke off.
        }
    }
}
