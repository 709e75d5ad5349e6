package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertWithMessage;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.model.Address;

/** Cuts messages after each of their bytes: what broke off is never taken for whole. */
@Timeout(60)
final class TruncatedMessageTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int LIMIT_BYTES = 1_000;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nId: a1\r\nSigned: i-1\r\n";
    private static final String REQUEST_HEAD = "POST /book/x HTTP/1.1\r\nHost: example\r\nId: a1\r\n";

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final UpstreamClient client = UpstreamClient.of(2);

    @AfterEach
    void close() {
        client.close();
        executor.shutdownNow();
    }

    @Test
    void shouldLoseTheResponseWhenItIsCutBeforeTheEndOfItsLength() throws IOException {
        assertLostAtEachCut(HEAD + "Content-Length: 12\r\n\r\n0123456789ab", 0);
    }

    @Test
    void shouldLoseTheResponseWhenItIsCutBeforeItsLastChunk() throws IOException {
        assertLostAtEachCut(HEAD + "Transfer-Encoding: chunked\r\n\r\n000a\r\n0123456789\r\n002\r\nab\r\n0\r\n\r\n", 0);
    }

    @Test
    void shouldLoseTheResponseWhenItIsCutInTheHeadAndItsBodyHasNoLength() throws IOException {
        assertLostAtEachCut(HEAD + "\r\n0123456789ab", 12);
    }

    @Test
    void shouldNotHandleTheRequestWhenItIsCutBeforeTheEndOfItsLength() throws IOException {
        assertUnhandledAtEachCut(REQUEST_HEAD + "Content-Length: 12\r\n\r\n0123456789ab");
    }

    @Test
    void shouldNotHandleTheRequestWhenItIsCutBeforeItsLastChunk() throws IOException {
        assertUnhandledAtEachCut(
                REQUEST_HEAD + "Transfer-Encoding: chunked\r\n\r\n000a\r\n0123456789\r\n002\r\nab\r\n0\r\n\r\n");
    }

    @Test
    void shouldNotHandleTheRequestWhenItHasNoBodyAndIsCutInItsHead() throws IOException {
        assertUnhandledAtEachCut("GET /look/x HTTP/1.1\r\nHost: example\r\nId: a1\r\nDeadline: 3000\r\n\r\n");
    }

    // -- helpers

    private void assertLostAtEachCut(String response, int excludedBytes) throws IOException {
        for (int length = 0; length < response.length() - excludedBytes; length++) {
            String sent = response.substring(0, length);
            assertWithMessage("cut after %s", sent)
                    .that(exchange(sent).isLeft())
                    .isTrue();
        }
        assertWithMessage("whole").that(exchange(response).get().body()).hasLength(12);
    }

    /** Sends a request to a peer that answers with the given text and closes the connection. */
    private Either<UpstreamFailure, BufferedResponse> exchange(String text) throws IOException {
        try (ServerSocket peer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            executor.execute(() -> answer(peer, text));
            OutboundRequest request =
                    new OutboundRequest("GET", "/x", List.of(), new byte[0], SendPolicy.POOLED, TIMEOUT, TIMEOUT);
            return client.exchange(
                    Address.of("127.0.0.1", peer.getLocalPort()),
                    request,
                    ResponseMatcher.matching(_ -> true),
                    LIMIT_BYTES,
                    Cancellation.create());
        }
    }

    private static void answer(ServerSocket peer, String text) {
        try (Socket socket = peer.accept()) {
            readHead(socket.getInputStream());
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            socket.shutdownOutput();
            var _ = socket.getInputStream().readAllBytes();
        } catch (IOException closedByClient) {
            // The client closes a connection whose response broke off.
        }
    }

    private static void readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) input.read());
        }
    }

    private static void assertUnhandledAtEachCut(String request) throws IOException {
        AtomicInteger handled = new AtomicInteger();
        RequestHandler handler = inbound -> {
            var _ = inbound.readBody(LIMIT_BYTES);
            handled.incrementAndGet();
            return Response.text(200, "text/plain", "ok");
        };
        try (HttpListener listener = HttpListener.start("127.0.0.1", 0, handler, ListenerLimits.defaults())
                .get()) {
            for (int length = 0; length < request.length(); length++) {
                sendAndWait(listener.address(), request.substring(0, length));
                assertWithMessage("cut after %s", request.substring(0, length))
                        .that(handled.get())
                        .isEqualTo(0);
            }
            sendAndWait(listener.address(), request);
            assertWithMessage("whole").that(handled.get()).isEqualTo(1);
        }
    }

    private static void sendAndWait(Address address, String text) throws IOException {
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.setSoTimeout(Math.toIntExact(TIMEOUT.toMillis()));
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            socket.shutdownOutput();
            var _ = socket.getInputStream().readAllBytes();
        } catch (SocketException reset) {
            // The listener resets a connection whose request broke off.
        }
    }
}
