package org.oleanderturn.store;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.Method;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.model.Address;

@Timeout(60)
final class StoreHttpClientTest {
    private static final String BODY = "{\"ttl\":1}";

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final CompletableFuture<String> received = new CompletableFuture<>();

    @AfterEach
    void close() {
        executor.shutdownNow();
    }

    /** A server that does not know 100 (Continue) would get the body only seconds after the head. */
    @Test
    void shouldSendTheBodyOfAWriteWithoutWaitingForPermission() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            executor.execute(() -> answer(server));
            StoreSettings settings = StoreSettings.of(Address.of("127.0.0.1", server.getLocalPort()));
            try (StoreHttpClient client = StoreHttpClient.of(settings, Duration.ofSeconds(10))) {
                byte[] body = BODY.getBytes(StandardCharsets.US_ASCII);
                assertThat(client.call(Method.POST, "/lease", Optional.of(body)).isRight())
                        .isTrue();
            }
            String request = received.get(10, TimeUnit.SECONDS).toLowerCase(Locale.ROOT);
            assertThat(request).doesNotContain("expect:");
            assertThat(request).contains("content-length: " + BODY.length());
            assertThat(request).contains("host: ");
        }
    }

    private void answer(ServerSocket server) {
        try (Socket socket = server.accept()) {
            StringBuilder request = new StringBuilder();
            while (request.indexOf("\r\n\r\n" + BODY) < 0) {
                request.append((char) socket.getInputStream().read());
            }
            received.complete(request.toString());
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        } catch (IOException failed) {
            received.completeExceptionally(failed);
        }
    }
}
