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

/** A node's operator interface on loopback that gives scripted answers; the last answer of a path repeats. */
final class FakeNode implements AutoCloseable {
    private final Map<String, Deque<Answer>> answers = new HashMap<>();
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

    private record Answer(int status, String body) {}

    static FakeNode start() {
        try {
            return new FakeNode();
        } catch (IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }

    FakeNode answers(String request, Object... values) {
        Deque<Answer> script = answers.computeIfAbsent(request, _ -> new ArrayDeque<>());
        Arrays.stream(values)
                .map(value -> new Answer(200, Codec.json().encodeText(value)))
                .forEach(script::add);
        return this;
    }

    FakeNode answersRaw(String request, int status, String body) {
        answers.computeIfAbsent(request, _ -> new ArrayDeque<>()).add(new Answer(status, body));
        return this;
    }

    /** Takes the request and then breaks the connection. */
    FakeNode losesAnswerOf(String request) {
        return answersRaw(request, 0, "");
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
        String line = request.getMethod() + " " + request.getPath();
        requests.add(line);
        if (request.getEntity() != null) {
            bodies.add(EntityUtils.toString(request.getEntity(), StandardCharsets.UTF_8));
        }
        Deque<Answer> script = answers.getOrDefault(line, new ArrayDeque<>(List.of(new Answer(404, "{}"))));
        Answer answer = script.size() > 1 ? script.remove() : script.element();
        if (answer.status() == 0) {
            throw new IOException("scripted loss");
        }
        response.setCode(answer.status());
        response.setHeader("Retry-After", "3");
        response.setEntity(new StringEntity(answer.body(), ContentType.APPLICATION_JSON));
    }

    @Override
    public void close() {
        server.close(CloseMode.IMMEDIATE);
    }
}
