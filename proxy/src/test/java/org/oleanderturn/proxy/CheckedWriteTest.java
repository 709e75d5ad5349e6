package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a response that breaks off because its connection is checked for a disconnect meanwhile. */
@Timeout(60)
final class CheckedWriteTest {
    private static final int PIECES = 3_000;
    private static final int PIECE_BYTES = 10_000;

    /** The load: a download in pieces, whose connection is checked without a pause. */
    @Test
    void shouldWriteAWholeResponseWhenItsConnectionIsChecked() throws Exception {
        RequestHandler handler = request -> Response.of(
                200, List.of(), new Response.Body.Streamed((long) PIECES * PIECE_BYTES, new CheckedSource(request)));
        try (HttpListener listener = HttpListener.start("127.0.0.1", 0, handler, ListenerLimits.defaults())
                        .get();
                RawClient client = new RawClient(listener.address())) {
            client.send(RawClient.get("/download"));
            assertThat(client.readResponse()).hasLength("200 ".length() + PIECES * PIECE_BYTES);
        }
    }

    private static final class CheckedSource implements Response.BodySource {
        private final Thread checker;

        CheckedSource(InboundRequest request) {
            checker = Thread.ofVirtual().unstarted(() -> {
                while (!Thread.currentThread().isInterrupted() && !request.hasPeerLeft()) {
                    Thread.onSpinWait();
                }
            });
        }

        @Override
        public void writeTo(OutputStream output) throws IOException {
            checker.start();
            for (int piece = 0; piece < PIECES; piece++) {
                output.write(new byte[PIECE_BYTES]);
            }
        }

        @Override
        public void close() {
            checker.interrupt();
        }
    }
}
