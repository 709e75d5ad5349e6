package org.oleanderturn.store;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.apache.hc.core5.http.Method;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Address;

/** Connections to the store that go silent for good, without an end, while new ones work. */
final class SilentStoreTest {
    private static final int POOLED = 3;
    private static final Duration PATIENCE = Duration.ofMillis(600);
    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final ServerSocket server;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
    private final Set<Socket> accepted = ConcurrentHashMap.newKeySet();
    private final CountDownLatch firstCalls = new CountDownLatch(POOLED);
    private final StoreHttpClient client;

    SilentStoreTest() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        executor.execute(this::accept);
        Address address = Address.of(server.getInetAddress().getHostAddress(), server.getLocalPort());
        client = StoreHttpClient.of(StoreSettings.of(address), PATIENCE);
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        server.close();
        for (Socket socket : accepted) {
            socket.close();
        }
        executor.shutdownNow();
    }

    @Test
    void shouldLoseOneCallOnlyWhenAllConnectionsToTheStoreGoSilent() throws Exception {
        List<Future<Either<StoreFailure, StoreResponse>>> first = IntStream.range(0, POOLED)
                .mapToObj(_ -> executor.submit(this::call))
                .toList();
        for (Future<Either<StoreFailure, StoreResponse>> response : first) {
            assertThat(response.get().isRight()).isTrue();
        }
        silent.addAll(accepted);

        assertThat(call().getLeft()).isInstanceOf(StoreFailure.Undetermined.class);
        for (int number = 0; number < POOLED; number++) {
            assertThat(call().isRight()).isTrue();
        }
    }

    private Either<StoreFailure, StoreResponse> call() {
        return client.call(Method.GET, "/", Optional.empty());
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                accepted.add(socket);
                executor.execute(() -> serve(socket));
            }
        } catch (IOException closed) {
            assertThat(server.isClosed()).isTrue();
        }
    }

    /** Answers calls; the first ones only when all of them have come, so that each has a connection of its own. */
    private void serve(Socket socket) {
        try {
            byte[] buffer = new byte[4_096];
            while (socket.getInputStream().read(buffer) > 0) {
                if (silent.contains(socket)) {
                    continue;
                }
                firstCalls.countDown();
                firstCalls.await();
                socket.getOutputStream().write(RESPONSE);
            }
        } catch (IOException | InterruptedException closed) {
            Thread.currentThread().interrupt();
        }
    }
}
