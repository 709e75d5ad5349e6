package org.oleanderturn.command;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Codec;

/**
 * An HTTP server on loopback that stands in for a node's operator interface.
 *
 * <p>Each request gets the next of its scripted responses; the last one repeats.
 */
final class FakeNode implements AutoCloseable {
    private final Map<String, Deque<Response>> responses = new HashMap<>();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final List<String> bodies = new CopyOnWriteArrayList<>();
    private final HttpServer server;

    private FakeNode() throws IOException {
        server = ServerBootstrap.bootstrap()
                .setLocalAddress(InetAddress.getLoopbackAddress())
                .setRequestRouter((request, context) -> this::handle)
                .create();
        server.start();
    }

    private record Response(int status, String body) {}

    static FakeNode start() {
        try {
            return new FakeNode();
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }

    FakeNode respondsTo(String request, Object... values) {
        Deque<Response> script = responses.computeIfAbsent(request, _ -> new ArrayDeque<>());
        Arrays.stream(values)
                .map(value -> new Response(200, Codec.json().encodeText(value)))
                .forEach(script::add);
        return this;
    }

    FakeNode respondsRawTo(String request, int status, String body) {
        responses.computeIfAbsent(request, _ -> new ArrayDeque<>()).add(new Response(status, body));
        return this;
    }

    /** Accepts the request and then closes the connection without a response. */
    FakeNode dropsResponseTo(String request) {
        return respondsRawTo(request, 0, "");
    }

    Address address() {
        return Address.of("127.0.0.1", server.getLocalPort());
    }

    List<String> requests() {
        return List.copyOf(requests);
    }

    List<String> bodies() {
        return List.copyOf(bodies);
    }

    private synchronized void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
            throws HttpException, IOException {
        String requestLine = request.getMethod() + " " + request.getPath();
        requests.add(requestLine);
        if (request.getEntity() != null) {
            bodies.add(EntityUtils.toString(request.getEntity(), StandardCharsets.UTF_8));
        }
        Deque<Response> script =
                responses.getOrDefault(requestLine, new ArrayDeque<>(List.of(new Response(404, "{}"))));
        Response scripted = script.size() > 1 ? script.remove() : script.element();
        if (scripted.status() == 0) {
            throw new IOException("scripted connection loss");
        }
        response.setCode(scripted.status());
        response.setHeader("Retry-After", "3");
        response.setEntity(new StringEntity(scripted.body(), ContentType.APPLICATION_JSON));
    }

    @Override
    public void close() {
        server.close(CloseMode.IMMEDIATE);
    }
}
