package org.oleanderturn.wire;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Codec;

final class FrameExchangeTest {
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(150);
    private static final int MAXIMUM_TRIES = 20;
    private static final int FRAME_BYTES = 4096;
    private static final int LARGE_FRAME_BYTES = 32 * 1024 * 1024;
    private static final Frame REQUEST = Frame.of("echo", "request".getBytes(UTF_8));

    private final WireLimits limits =
            WireLimits.defaults().withMaximumFrameBytes(FRAME_BYTES).withTimeouts(LONG_TIMEOUT, LONG_TIMEOUT);
    private final AtomicInteger handled = new AtomicInteger();
    private final FrameServer server = start(limits);
    private final FrameClient client = FrameClient.of(limits);

    @AfterEach
    void close() {
        client.close();
        server.close();
    }

    private FrameServer start(WireLimits serverLimits) {
        return FrameServer.start(ListenAddress.of("127.0.0.1", 0), this::handle, serverLimits)
                .get();
    }

    private Frame handle(Frame request) {
        handled.incrementAndGet();
        if (request.kind().equals("fail")) {
            throw new IllegalStateException("requested failure");
        }
        return request;
    }

    // -- successful exchanges

    @Test
    void shouldAnswerSeveralRequestsOverOneConnectionWhenCalledSequentially() {
        for (int count = 0; count < 5; count++) {
            Frame answer = client.call(server.address(), REQUEST, LONG_TIMEOUT).get();
            assertThat(answer.payload()).isEqualTo(REQUEST.payload());
        }
        assertThat(server.connections()).isEqualTo(1);
        assertThat(client.idleConnections()).isEqualTo(1);
    }

    @Test
    void shouldCountTheSameBytesOnBothSidesWhenCallsSucceed() {
        client.call(server.address(), REQUEST, LONG_TIMEOUT).get();
        client.call(server.address(), REQUEST, LONG_TIMEOUT).get();
        WireCounters.PeerBytes peer = client.counters().byPeer().getFirst();
        assertThat(peer.sentBytes()).isEqualTo(2L * FrameChannel.encode(REQUEST).length);
        assertThat(peer.receivedBytes()).isEqualTo(server.counters().receivedBytes());
        assertThat(client.counters().receivedBytes()).isEqualTo(peer.receivedBytes());
    }

    // -- faults of the caller

    @Test
    void shouldFailBeforeSendingWhenRequestIsOversize() {
        WireFailure failure = client.call(server.address(), Frame.of("echo", new byte[FRAME_BYTES]), LONG_TIMEOUT)
                .getLeft();
        assertThat(failure).isInstanceOf(WireFailure.Oversize.class);
        assertThat(failure.isUndetermined()).isFalse();
        assertThat(client.counters().sentBytes()).isEqualTo(0);
    }

    @Test
    void shouldAnswerOversizeAndKeepServingWhenLengthExceedsLimit() throws IOException {
        for (int length : new int[] {FRAME_BYTES + 1, -1, Integer.MIN_VALUE, Integer.MAX_VALUE}) {
            byte[] prefix = ByteBuffer.allocate(Integer.BYTES).putInt(length).array();
            assertThat(refusalTo(prefix)).isEqualTo(RefusalKind.OVERSIZE);
        }
        assertServerStillAnswers();
    }

    @Test
    void shouldAnswerMalformedAndKeepServingWhenBytesAreGarbage() throws IOException {
        byte[] garbage =
                ByteBuffer.allocate(12).putInt(8).putLong(0xC1C1C1C1C1C1C1C1L).array();
        assertThat(refusalTo(garbage)).isEqualTo(RefusalKind.MALFORMED);
        byte[] empty = new byte[Integer.BYTES];
        assertThat(refusalTo(empty)).isEqualTo(RefusalKind.MALFORMED);
        assertServerStillAnswers();
    }

    @Test
    void shouldAnswerStalledWhenOnlyPartOfFrameArrives() throws IOException {
        byte[] completeFrame = FrameChannel.encode(REQUEST);
        try (FrameServer impatient = start(limits.withTimeouts(SHORT_TIMEOUT, LONG_TIMEOUT))) {
            for (int sent = 1; sent < completeFrame.length; sent += 3) {
                byte[] partialFrame =
                        ByteBuffer.allocate(sent).put(completeFrame, 0, sent).array();
                assertThat(refusalTo(impatient, partialFrame)).isEqualTo(RefusalKind.STALLED);
            }
            assertThat(handled.get()).isEqualTo(0);
            // On a busy machine a whole frame may stall as well.
            boolean isAnswered = IntStream.range(0, MAXIMUM_TRIES)
                    .anyMatch(_ -> client.call(impatient.address(), REQUEST, LONG_TIMEOUT)
                            .isRight());
            assertThat(isAnswered).isTrue();
        }
        assertServerStillAnswers();
    }

    @Test
    void shouldAnswerBusyWhenAllConnectionsAreInUse() {
        try (FrameServer small = start(limits.withMaximumConnections(1));
                FrameClient other = FrameClient.of(limits)) {
            client.call(small.address(), REQUEST, LONG_TIMEOUT).get();
            WireFailure failure =
                    other.call(small.address(), REQUEST, LONG_TIMEOUT).getLeft();
            assertThat(failure).isEqualTo(new WireFailure.Refused(small.address(), RefusalKind.BUSY));
            assertThat(client.call(small.address(), REQUEST, LONG_TIMEOUT).isRight())
                    .isTrue();
        }
    }

    @Test
    void shouldAnswerFailedAndKeepServingWhenHandlerThrows() {
        WireFailure failure = client.call(server.address(), Frame.of("fail", new byte[0]), LONG_TIMEOUT)
                .getLeft();
        assertThat(failure).isEqualTo(new WireFailure.Refused(server.address(), RefusalKind.FAILED));
        assertThat(failure.isUndetermined()).isTrue();
        assertServerStillAnswers();
    }

    // -- faults of the peer

    @Test
    void shouldReportUnreachableWhenNothingListens() throws IOException {
        Address unused;
        try (ServerSocket socket = listen()) {
            unused = Address.of("127.0.0.1", socket.getLocalPort());
        }
        WireFailure failure = client.call(unused, REQUEST, LONG_TIMEOUT).getLeft();
        assertThat(failure).isInstanceOf(WireFailure.Unreachable.class);
    }

    @Test
    void shouldReportAnswerLostWhenPeerClosesDuringAnswer() throws Exception {
        byte[] answer = FrameChannel.encode(REQUEST);
        for (int sent = 0; sent < answer.length; sent += 5) {
            assertThat(callScripted(answer, sent, false)).isInstanceOf(WireFailure.AnswerLost.class);
        }
    }

    @Test
    void shouldReportUnreachableWhenPeerTakesOnlyPartOfFrame() throws IOException {
        WireLimits largeLimits = limits.withMaximumFrameBytes(2 * LARGE_FRAME_BYTES);
        try (ServerSocket silentPeer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                FrameClient largeClient = FrameClient.of(largeLimits)) {
            Address address = Address.of("127.0.0.1", silentPeer.getLocalPort());
            Frame large = Frame.of("echo", new byte[LARGE_FRAME_BYTES]);
            assertThat(largeClient.call(address, large, SHORT_TIMEOUT).getLeft())
                    .isInstanceOf(WireFailure.Unreachable.class);
        }
    }

    @Test
    void shouldAnswerWhenFrameExceedsTheBuffersOfTheConnection() {
        WireLimits largeLimits =
                limits.withMaximumFrameBytes(2 * LARGE_FRAME_BYTES).withTimeouts(LONG_TIMEOUT, LONG_TIMEOUT);
        try (FrameServer largeServer = start(largeLimits);
                FrameClient largeClient = FrameClient.of(largeLimits)) {
            Frame large = Frame.of("echo", new byte[LARGE_FRAME_BYTES]);
            Frame answer =
                    largeClient.call(largeServer.address(), large, LONG_TIMEOUT).get();
            assertThat(answer.payload()).isEqualTo(large.payload());
        }
    }

    @Test
    void shouldReportTimedOutWhenPeerIsSlow() throws Exception {
        byte[] answer = FrameChannel.encode(REQUEST);
        assertThat(callScripted(answer, 0, true)).isInstanceOf(WireFailure.TimedOut.class);
        assertThat(callScripted(answer, 7, true)).isInstanceOf(WireFailure.TimedOut.class);
    }

    @Test
    void shouldReportMalformedOrOversizeWhenAnswerIsGarbage() throws Exception {
        byte[] garbage = ByteBuffer.allocate(8).putInt(4).putInt(0xC1C1C1C1).array();
        assertThat(callScripted(garbage, 8, false)).isInstanceOf(WireFailure.Malformed.class);
        byte[] oversize = ByteBuffer.allocate(4).putInt(FRAME_BYTES + 1).array();
        assertThat(callScripted(oversize, 4, false)).isInstanceOf(WireFailure.Oversize.class);
    }

    @Test
    void shouldNotResendWhenPooledConnectionClosesAfterRequest() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        try (ServerSocket peer = listen()) {
            Thread thread = Thread.ofVirtual().start(() -> answerFirstOnly(peer, requests));
            Address address = Address.of("127.0.0.1", peer.getLocalPort());
            assertThat(client.call(address, REQUEST, LONG_TIMEOUT).isRight()).isTrue();
            WireFailure failure = client.call(address, REQUEST, LONG_TIMEOUT).getLeft();
            assertThat(failure).isInstanceOf(WireFailure.AnswerLost.class);
            thread.join();
        }
        assertThat(requests.get()).isEqualTo(2);
    }

    @Test
    void shouldOpenNewConnectionWhenPeerClosedIdleOne() throws Exception {
        Address address = server.address();
        client.call(address, REQUEST, LONG_TIMEOUT).get();
        server.close();
        try (FrameServer restarted = FrameServer.start(ListenAddress.of(address), this::handle, limits)
                .get()) {
            assertThat(client.call(restarted.address(), REQUEST, LONG_TIMEOUT).isRight())
                    .isTrue();
        }
        assertThat(handled.get()).isEqualTo(2);
    }

    // -- helpers

    private void assertServerStillAnswers() {
        assertThat(client.call(server.address(), REQUEST, LONG_TIMEOUT).isRight())
                .isTrue();
    }

    private RefusalKind refusalTo(byte[] bytes) throws IOException {
        return refusalTo(server, bytes);
    }

    private static RefusalKind refusalTo(FrameServer receiver, byte[] bytes) throws IOException {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), receiver.address().port())) {
            socket.getOutputStream().write(bytes);
            Frame refusal = readFrame(new DataInputStream(socket.getInputStream()));
            assertThat(refusal.isRefusal()).isTrue();
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
            return Codec.messagePack()
                    .decode(refusal.payload(), RefusalKind.class)
                    .get();
        }
    }

    private WireFailure callScripted(byte[] answer, int sentBytes, boolean isHeldOpen) throws Exception {
        try (ServerSocket peer = listen()) {
            Thread thread = Thread.ofVirtual().start(() -> answerInPart(peer, answer, sentBytes, isHeldOpen));
            Address address = Address.of("127.0.0.1", peer.getLocalPort());
            Duration timeout = isHeldOpen ? SHORT_TIMEOUT : LONG_TIMEOUT;
            WireFailure failure = client.call(address, REQUEST, timeout).getLeft();
            thread.join();
            return failure;
        }
    }

    private static void answerInPart(ServerSocket peer, byte[] answer, int sentBytes, boolean isHeldOpen) {
        try (Socket socket = peer.accept()) {
            readFrame(new DataInputStream(socket.getInputStream()));
            OutputStream output = socket.getOutputStream();
            output.write(answer, 0, sentBytes);
            if (isHeldOpen) {
                assertThat(socket.getInputStream().read()).isEqualTo(-1);
            }
        } catch (IOException cause) {
            throw new AssertionError(cause);
        }
    }

    private static void answerFirstOnly(ServerSocket peer, AtomicInteger requests) {
        try (Socket socket = peer.accept()) {
            DataInputStream input = new DataInputStream(socket.getInputStream());
            Frame first = readFrame(input);
            requests.incrementAndGet();
            socket.getOutputStream().write(FrameChannel.encode(first));
            readFrame(input);
            requests.incrementAndGet();
        } catch (IOException cause) {
            throw new AssertionError(cause);
        }
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
    }

    private static Frame readFrame(DataInputStream input) throws IOException {
        byte[] body = new byte[input.readInt()];
        input.readFully(body);
        return Codec.messagePack().decode(body, Frame.class).get();
    }
}
