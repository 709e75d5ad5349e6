package org.oleanderturn.proxy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import org.oleanderturn.model.Address;

/**
 * A target that records the id of every request that it runs and returns that id in the response.
 *
 * <p>Thread safe.
 */
final class FakeTarget implements AutoCloseable {
    private static final int LIMIT_BYTES = 1_000_000;

    private final List<String> runs = new CopyOnWriteArrayList<>();
    private final AtomicBoolean isShedding = new AtomicBoolean();
    private final HttpListener listener;

    FakeTarget() {
        this.listener = HttpListener.start("127.0.0.1", 0, this::handle, ListenerLimits.defaults())
                .get();
    }

    static String responseBodyFor(String requestId) {
        return "the whole answer to " + requestId;
    }

    Address address() {
        return listener.address();
    }

    /** Returns the ids of the requests that ran, in order. */
    List<String> runs() {
        return List.copyOf(runs);
    }

    void setShedding(boolean isEnabled) {
        isShedding.set(isEnabled);
    }

    @Override
    public void close() {
        listener.close();
    }

    private Response handle(InboundRequest request) throws IOException {
        if (request.path().equals("/health")) {
            return Response.text(200, "text/plain", "");
        }
        if (isShedding.get()) {
            return Response.text(503, "text/plain", "").withHeader(ProxyHeaders.OUTCOME, "not-run");
        }
        var _ = request.readBody(LIMIT_BYTES).orElseThrow();
        String requestId = request.header(ProxyHeaders.REQUEST_ID).orElseThrow();
        runs.add(requestId);
        return Response.of(
                        200,
                        List.of(),
                        new Response.Body.Buffered(responseBodyFor(requestId).getBytes(StandardCharsets.UTF_8)))
                .withHeader("Connection", "close");
    }
}
