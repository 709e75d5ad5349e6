package org.oleanderturn.store;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.hc.core5.http.Method;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oleanderturn.model.Address;

/** A peer that sends bytes without end until its caller closes must not use up the caller's memory. */
@Timeout(60)
final class LimitedInputTest {
    private static final String LINE_END = "\r\n";

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

    @AfterEach
    void close() {
        executor.shutdownNow();
    }

    /** {@code |} stands for the end of a line. */
    @ParameterizedTest
    @CsvSource({
        "'', no answer at all ",
        "HTTP/1.1 200 OK|X-Long: , a",
        "HTTP/1.1 200 OK|, X-Header: a|",
        "'', HTTP/1.1 100 Continue||",
        "HTTP/1.1 200 OK||, body to the end of the connection",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||, 4|body|",
        "HTTP/1.1 200 OK|Content-Length: 2000000000||, body",
        "HTTP/1.1 200 OK|Content-Length: 9999999999||, body"
    })
    void shouldGiveUpWhenAResponseHasNoEnd(String start, String repeated) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            executor.execute(() -> answer(server, start, repeated));
            StoreSettings settings = StoreSettings.of(Address.of("127.0.0.1", server.getLocalPort()));
            try (StoreHttpClient client = StoreHttpClient.of(settings, Duration.ofSeconds(10))) {
                Either<StoreFailure, StoreResponse> response = client.call(Method.POST, "/lease", Optional.empty());
                assertThat(response.isLeft()).isTrue();
            }
        }
    }

    @Test
    void shouldGiveUpWhenBytesComeNowAndThen() throws IOException {
        try (InputStream slow = new LimitedInput(new ByteArrayInputStream(new byte[2]), 10, Duration.ZERO)) {
            Assertions.assertThrows(SocketTimeoutException.class, slow::read);
        }
    }

    private static void answer(ServerSocket server, String start, String repeated) {
        try (Socket socket = server.accept()) {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) socket.getInputStream().read());
            }
            OutputStream output = socket.getOutputStream();
            output.write(bytes(start));
            byte[] block = bytes(repeated.repeat(1_000));
            while (true) {
                output.write(block);
            }
        } catch (IOException closed) {
            // The client closes the connection.
        }
    }

    private static byte[] bytes(String text) {
        return text.replace("|", LINE_END).getBytes(StandardCharsets.US_ASCII);
    }
}
