package org.oleanderturn.testbed;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.model.Address;
import org.oleanderturn.store.HttpStore;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoreSettings;

/**
 * Guards against reads that fail because the server has closed a pooled connection.
 *
 * <p>The server closes each connection when a second request arrives on it, without an answer. The store's client has to
 * repeat a read on a new connection, but not a write, which may have taken effect.
 */
@Timeout(60)
class StoreReadTest {
    private static final byte[] ABSENT =
            "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.UTF_8);
    private static final String END_OF_HEADERS = "\r\n\r\n";

    private final AtomicInteger connections = new AtomicInteger();

    @Test
    void shouldRetryReadWhenPooledConnectionIsClosedWithoutAnswer() throws Exception {
        // The server closes before the executor, which waits for the thread that accepts, also when a check fails.
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
                ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
                HttpStore store = HttpStore.of(StoreSettings.of(Address.of("127.0.0.1", server.getLocalPort())))) {
            Future<Void> _ = executor.submit(() -> acceptAll(server));
            assertThat(store.get("key").isRight()).isTrue();
            assertThat(store.get("key").isRight()).isTrue();
            assertThat(connections.get()).isEqualTo(2);

            assertThat(store.compareAndSwap("key", 0, new byte[0]).getLeft())
                    .isInstanceOf(StoreFailure.Undetermined.class);
            assertThat(connections.get()).isEqualTo(2);
            server.close();
        }
    }

    private Void acceptAll(ServerSocket server) throws IOException {
        while (true) {
            try (Socket socket = server.accept()) {
                connections.incrementAndGet();
                readHeaders(socket.getInputStream());
                socket.getOutputStream().write(ABSENT);
                socket.getOutputStream().flush();
                readHeaders(socket.getInputStream());
            }
        }
    }

    private static void readHeaders(InputStream input) throws IOException {
        StringBuilder headers = new StringBuilder();
        int next = input.read();
        while (next >= 0 && !headers.toString().endsWith(END_OF_HEADERS)) {
            headers.append((char) next);
            if (headers.toString().endsWith(END_OF_HEADERS)) {
                return;
            }
            next = input.read();
        }
    }
}
