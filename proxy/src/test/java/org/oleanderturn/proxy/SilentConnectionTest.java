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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Address;

/** Connections that go silent for good, without an end, while new ones work. */
final class SilentConnectionTest {
    private static final int POOLED = 3;
    private static final int BODY_LIMIT_BYTES = 1_000;
    private static final Duration PATIENCE = Duration.ofMillis(800);
    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final ServerSocket server;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
    private final Set<Socket> accepted = ConcurrentHashMap.newKeySet();
    private final CountDownLatch firstRequests = new CountDownLatch(POOLED);
    private final UpstreamClient client = UpstreamClient.of(POOLED * 2);

    SilentConnectionTest() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        executor.execute(this::accept);
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
    void shouldLoseOneRequestOnlyWhenAllConnectionsToAPeerGoSilent() throws Exception {
        List<Future<Either<UpstreamFailure, BufferedResponse>>> first = IntStream.range(0, POOLED)
                .mapToObj(_ -> executor.submit(this::send))
                .toList();
        for (Future<Either<UpstreamFailure, BufferedResponse>> response : first) {
            assertThat(response.get().isRight()).isTrue();
        }
        silent.addAll(accepted);

        assertThat(send().getLeft()).isInstanceOf(UpstreamFailure.TimedOut.class);
        for (int request = 0; request < POOLED; request++) {
            assertThat(send().isRight()).isTrue();
        }
    }

    private Either<UpstreamFailure, BufferedResponse> send() {
        OutboundRequest request = new OutboundRequest(
                "GET", "/", List.of(), new byte[0], SendPolicy.POOLED_UNCHECKED, PATIENCE, PATIENCE);
        Address peer = Address.of(server.getInetAddress().getHostAddress(), server.getLocalPort());
        return client.exchange(peer, request, ResponseMatcher.framed(), BODY_LIMIT_BYTES, Cancellation.create());
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

    /** Answers requests; the first ones only when all of them have come, so that each has a connection of its own. */
    private void serve(Socket socket) {
        try {
            byte[] buffer = new byte[4_096];
            while (socket.getInputStream().read(buffer) > 0) {
                if (silent.contains(socket)) {
                    continue;
                }
                firstRequests.countDown();
                firstRequests.await();
                socket.getOutputStream().write(RESPONSE);
            }
        } catch (IOException | InterruptedException closed) {
            Thread.currentThread().interrupt();
        }
    }
}
