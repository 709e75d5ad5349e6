package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderturn.model.Address;

@Timeout(60)
final class HttpListenerTest {
    private static final int WAIT_SECONDS = 20;
    private static final int ROUNDS = 100;
    private static final int CONNECTIONS = 20;

    private final CountDownLatch failedAction = new CountDownLatch(1);
    private final CountDownLatch noticed = new CountDownLatch(1);

    @Test
    void shouldNoticeThatAPeerLeftWhenTheActionForAnotherPeerFailed() throws Exception {
        RequestHandler handler = request -> {
            request.onPeerDisconnect(() -> act(request.path()));
            awaitQuietly(request.path().equals("/fails") ? failedAction : noticed);
            return Response.text(200, "text/plain", "ok");
        };
        try (HttpListener listener = HttpListener.start("127.0.0.1", 0, handler, ListenerLimits.defaults())
                .get()) {
            sendAndLeave(listener.address(), "/fails");
            assertThat(failedAction.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
            sendAndLeave(listener.address(), "/works");
            assertThat(noticed.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        }
    }

    /** A client that sends a long body must be able to read a refusal that comes before the end of that body. */
    @Test
    void shouldDeliverARefusalThatIsSentBeforeALongBodyWasRead() throws Exception {
        RequestHandler handler = _ -> Response.text(401, "text/plain", "refused");
        try (HttpListener listener = HttpListener.start("127.0.0.1", 0, handler, ListenerLimits.defaults())
                        .get();
                Socket socket =
                        new Socket(listener.address().host(), listener.address().port())) {
            String head = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(new byte[200_000]);
            socket.setSoTimeout(WAIT_SECONDS * 1_000);
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(response).startsWith("HTTP/1.1 401");
            assertThat(response).contains("Connection: close");
            assertThat(response).endsWith("refused");
        }
    }

    /** The load: clients that open connections as fast as they can while the listener is drained, again and again. */
    @Test
    void shouldAnswerEveryRequestThatWasSentBeforeTheDrainBegan() throws Exception {
        int unanswered = 0;
        for (int round = 0; round < ROUNDS; round++) {
            unanswered += countUnanswered();
        }
        assertThat(unanswered).isEqualTo(0);
    }

    /** Sends requests over new connections, drains the listener at once, and returns how many got no response. */
    private static int countUnanswered() throws IOException {
        RequestHandler handler = _ -> Response.text(200, "text/plain", "ok");
        List<Socket> sockets = new ArrayList<>();
        int unanswered = 0;
        try (HttpListener listener = HttpListener.start("127.0.0.1", 0, handler, ListenerLimits.defaults())
                .get()) {
            for (int connection = 0; connection < CONNECTIONS; connection++) {
                Socket socket =
                        new Socket(listener.address().host(), listener.address().port());
                sockets.add(socket);
                socket.getOutputStream().write(request("/sent"));
            }
            assertThat(listener.drain(Duration.ofSeconds(WAIT_SECONDS))).isTrue();
            for (Socket socket : sockets) {
                unanswered += isAnswered(socket) ? 0 : 1;
            }
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
        return unanswered;
    }

    private static boolean isAnswered(Socket socket) {
        try {
            return socket.getInputStream().read() == 'H';
        } catch (IOException reset) {
            return false;
        }
    }

    private static byte[] request(String path) {
        return ("GET " + path + " HTTP/1.1\r\nHost: example\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    private void act(String path) {
        if (path.equals("/fails")) {
            failedAction.countDown();
            throw new IllegalStateException("unexpected");
        }
        noticed.countDown();
    }

    private static void sendAndLeave(Address address, String path) throws IOException {
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.getOutputStream().write(request(path));
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            var _ = latch.await(WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
    }
}
