package org.oleanderturn.node;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.AvailabilityZone;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.DurationText;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Region;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.platform.RehearsalMessages;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.HttpListener;
import org.oleanderturn.proxy.ListenerLimits;
import org.oleanderturn.proxy.OutboundRequest;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.proxy.ResponseMatcher;
import org.oleanderturn.proxy.SendPolicy;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.proxy.UpstreamFailure;

/**
 * The self-test of {@code --rehearse}: runs a {@link MeshNode} on loopback with an in-process store and target, and sends
 * requests through it.
 *
 * <p>It verifies that the program works on a machine; the build also uses it to record the classes that a start loads. Not
 * thread safe.
 */
final class Rehearsal implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final String NAME = "rehearsal";
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);
    private static final int MAXIMUM_ATTEMPTS = 400;
    private static final int REQUESTS = 100;
    private static final int BODY_LIMIT_BYTES = 65_536;
    private static final int OK = 200;

    private final LogWriter writer;
    private final UpstreamClient client = UpstreamClient.of(1);
    private final HttpListener store;
    private final HttpListener target;

    private Rehearsal(LogWriter writer, HttpListener store, HttpListener target) {
        this.writer = writer;
        this.store = store;
        this.target = target;
    }

    /** Runs the self-test; returns whether enough requests succeeded. Blocks until it is over. */
    static boolean run(LogWriter writer) {
        Objects.requireNonNull(writer, "writer is null");
        ListenerLimits limits = ListenerLimits.defaults();
        Response storeResponse = Response.of(
                OK,
                List.of(HeaderField.of("Content-Type", "application/json")),
                new Response.Body.Buffered(RehearsalMessages.storeResponseBody()));
        Response targetResponse = Response.of(
                OK, RehearsalMessages.targetResponseHeaders(), new Response.Body.Buffered(new byte[] {'x'}));
        return HttpListener.start(LOOPBACK, 0, _ -> storeResponse, limits)
                .flatMap(store -> HttpListener.start(LOOPBACK, 0, _ -> targetResponse, limits)
                        .map(target -> new Rehearsal(writer, store, target)))
                .map(rehearsal -> {
                    try (rehearsal) {
                        return rehearsal.runSelfTest();
                    }
                })
                .getOrElse(false);
    }

    @Override
    public void close() {
        client.close();
        store.close();
        target.close();
    }

    private boolean runSelfTest() {
        Optional<NodeSettings> read;
        try {
            read = readBack(settings());
        } catch (IOException cause) {
            return false;
        }
        if (read.isEmpty()) {
            return false;
        }
        NodeSettings settings = read.get();
        Either<NodeFailure, MeshNode> node = MeshNode.start(settings, writer);
        if (node.isLeft()) {
            return false;
        }
        boolean isServed =
                sendHeartbeat(settings) && sendRequests(settings.listen().caller());
        node.get().stop();
        return isServed;
    }

    /** Passes settings through a file, as a start reads them; empty if they don't come back the same. */
    private static Optional<NodeSettings> readBack(NodeSettings settings) throws IOException {
        Path file = Files.createTempFile(NAME, ".json");
        try {
            Files.write(file, Codec.json().encode(settings));
            return SettingsReader.read(file).toJavaOptional().filter(settings::equals);
        } finally {
            Files.delete(file);
        }
    }

    private boolean sendHeartbeat(NodeSettings settings) {
        Address targetCalls = settings.mesh().orElseThrow().targetCalls();
        OutboundRequest request = new OutboundRequest(
                "POST",
                RehearsalMessages.heartbeatPath(),
                List.of(),
                RehearsalMessages.heartbeatBody(settings.target().address()),
                SendPolicy.POOLED,
                REQUEST_TIMEOUT,
                REQUEST_TIMEOUT);
        return isAnsweredOk(targetCalls, request);
    }

    private boolean sendRequests(Address caller) {
        OutboundRequest request = new OutboundRequest(
                "GET",
                RehearsalMessages.PATH,
                RehearsalMessages.clientHeaders(),
                new byte[0],
                SendPolicy.POOLED,
                REQUEST_TIMEOUT,
                REQUEST_TIMEOUT);
        int served = 0;
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS && served < REQUESTS; attempt++) {
            if (isAnsweredOk(caller, request)) {
                served++;
            } else {
                LockSupport.parkNanos(RETRY_DELAY.toNanos());
            }
        }
        return served == REQUESTS;
    }

    private boolean isAnsweredOk(Address address, OutboundRequest request) {
        Either<UpstreamFailure, BufferedResponse> response =
                client.exchange(address, request, ResponseMatcher.framed(), BODY_LIMIT_BYTES, Cancellation.create());
        return response.exists(complete -> complete.status() == OK);
    }

    private NodeSettings settings() throws IOException {
        NodeSettings.RetryLimit retryLimit = new NodeSettings.RetryLimit(0, 0, DurationText.of("10s"));
        NodeSettings.Mesh mesh = new NodeSettings.Mesh(
                freeAddress(),
                freeAddress(),
                DurationText.of("60s"),
                DurationText.of("5s"),
                retryLimit,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
        return new NodeSettings(
                NodeId.of(NAME),
                Region.of(NAME),
                AvailabilityZone.of(NAME),
                Region.of(NAME),
                new NodeSettings.Listen(freeAddress(), freeAddress(), freeAddress(), freeAddress()),
                new NodeSettings.Platform(store.address(), 100, 1_000),
                new NodeSettings.Target(target.address(), ServiceName.of(NAME), "/", "/"),
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Optional.of(mesh));
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return Address.of(LOOPBACK, socket.getLocalPort());
        }
    }
}
