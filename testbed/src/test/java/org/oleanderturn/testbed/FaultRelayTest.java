package org.oleanderturn.testbed;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Address;

final class FaultRelayTest {
    private static final int SHORT_TIMEOUT_MILLISECONDS = 100;
    private static final int LONG_TIMEOUT_MILLISECONDS = 10_000;
    private static final Duration BUSY_TIME = Duration.ofMillis(300);

    private ServerSocket upstream;
    private FaultRelay relay;

    @BeforeEach
    void start() throws IOException {
        upstream = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        relay = FaultRelay.start(0, Address.of("127.0.0.1", upstream.getLocalPort()));
    }

    @AfterEach
    void stop() throws IOException {
        relay.close();
        upstream.close();
    }

    @Test
    void shouldForwardBytesBothWaysWhenHealed() throws IOException {
        assertBytesAreForwardedBothWays();
    }

    @Test
    void shouldCloseAndRefuseConnectionsWhenCutAndForwardAgainWhenHealed() throws IOException {
        try (Socket caller = connect();
                Socket upstreamSocket = upstream.accept()) {
            upstreamSocket.setSoTimeout(LONG_TIMEOUT_MILLISECONDS);
            relay.setMode(new FaultRelayMode.Cut());
            assertThat(hasEnded(caller)).isTrue();
            assertThat(hasEnded(upstreamSocket)).isTrue();
            assertThrows(IOException.class, this::connect);
        }
        relay.setMode(new FaultRelayMode.Healed());
        assertBytesAreForwardedBothWays();
    }

    // Guards against a port that still accepts after the relay was cut, as its thread had no processor to close it.
    @Test
    void shouldRefuseConnectionsWhenCutWhileAllProcessorsAreBusy() throws IOException, InterruptedException {
        int threads = 2 * Runtime.getRuntime().availableProcessors();
        long end = System.nanoTime() + BUSY_TIME.toNanos();
        CountDownLatch busy = new CountDownLatch(threads / 2);
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int index = 0; index < threads; index++) {
                executor.execute(() -> {
                    busy.countDown();
                    while (System.nanoTime() < end) {
                        Thread.onSpinWait();
                    }
                });
            }
            assertThat(busy.await(LONG_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS))
                    .isTrue();
            relay.setMode(new FaultRelayMode.Cut());
            assertThrows(IOException.class, this::connect);
        }
    }

    @Test
    void shouldHoldBytesWhenFrozenAndForwardThemWhenHealed() throws IOException {
        try (Socket caller = connect();
                Socket upstreamSocket = upstream.accept()) {
            relay.setMode(new FaultRelayMode.Frozen());
            caller.getOutputStream().write(7);
            upstreamSocket.setSoTimeout(SHORT_TIMEOUT_MILLISECONDS);
            assertThrows(
                    SocketTimeoutException.class,
                    () -> upstreamSocket.getInputStream().read());
            upstreamSocket.setSoTimeout(LONG_TIMEOUT_MILLISECONDS);
            relay.setMode(new FaultRelayMode.Healed());
            assertThat(upstreamSocket.getInputStream().read()).isEqualTo(7);
        }
    }

    @Test
    void shouldParseModeOnlyWhenPathIsValid() {
        assertThat(FaultRelayCommand.parseMode("/cut")).isEqualTo(Optional.of(new FaultRelayMode.Cut()));
        assertThat(FaultRelayCommand.parseMode("/delay/30")).isEqualTo(Optional.of(new FaultRelayMode.Delayed(30)));
        assertThat(FaultRelayCommand.parseMode("/delay/-1")).isEqualTo(Optional.empty());
        assertThat(FaultRelayCommand.parseMode("/other")).isEqualTo(Optional.empty());
    }

    private void assertBytesAreForwardedBothWays() throws IOException {
        try (Socket caller = connect();
                Socket upstreamSocket = upstream.accept()) {
            caller.getOutputStream().write(7);
            assertThat(upstreamSocket.getInputStream().read()).isEqualTo(7);
            upstreamSocket.getOutputStream().write(8);
            assertThat(caller.getInputStream().read()).isEqualTo(8);
        }
    }

    private Socket connect() throws IOException {
        Socket caller = new Socket(InetAddress.getLoopbackAddress(), relay.port());
        caller.setSoTimeout(LONG_TIMEOUT_MILLISECONDS);
        return caller;
    }

    private static boolean hasEnded(Socket socket) {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException timeout) {
            return false;
        } catch (IOException cause) {
            return true;
        }
    }
}
