package org.oleanderturn.node;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.AvailabilityZone;
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
 * Runs a node of the users' platform alone on loopback, with a store and a target of its own, and sends requests through.
 *
 * <p>It shows that the program works on a machine, and the build records in it which classes a start needs. For one
 * thread.
 */
final class Rehearsal implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final String NAME = "rehearsal";
    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final Duration PAUSE = Duration.ofMillis(100);
    private static final int TRIES = 400;
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

    /** Returns whether requests went through; blocks. */
    static boolean run(LogWriter writer) {
        Objects.requireNonNull(writer, "writer is null");
        ListenerLimits limits = ListenerLimits.defaults();
        Response stored = Response.of(
                OK,
                List.of(HeaderField.of("Content-Type", "application/json")),
                new Response.Body.Buffered(RehearsalMessages.storeAnswerBody()));
        Response answered =
                Response.of(OK, RehearsalMessages.targetAnswerHeaders(), new Response.Body.Buffered(new byte[] {'x'}));
        return HttpListener.start(LOOPBACK, 0, _ -> stored, limits)
                .flatMap(store -> HttpListener.start(LOOPBACK, 0, _ -> answered, limits)
                        .map(target -> new Rehearsal(writer, store, target)))
                .map(rehearsal -> {
                    try (rehearsal) {
                        return rehearsal.play();
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

    private boolean play() {
        NodeSettings settings;
        try {
            settings = settings();
        } catch (IOException noPort) {
            return false;
        }
        Either<NodeFailure, MeshNode> node = MeshNode.start(settings, writer);
        if (node.isLeft()) {
            return false;
        }
        boolean isServed = heartbeat(settings) && serve(settings.listen().caller());
        node.get().stop();
        return isServed;
    }

    private boolean heartbeat(NodeSettings settings) {
        Address calls = settings.mesh().orElseThrow().targetCalls();
        OutboundRequest request = new OutboundRequest(
                "POST",
                RehearsalMessages.heartbeatPath(),
                List.of(),
                RehearsalMessages.heartbeatBody(),
                SendPolicy.POOLED,
                PATIENCE,
                PATIENCE);
        return isAnswered(calls, request);
    }

    private boolean serve(Address caller) {
        OutboundRequest request = new OutboundRequest(
                "GET",
                RehearsalMessages.PATH,
                RehearsalMessages.clientHeaders(),
                new byte[0],
                SendPolicy.POOLED,
                PATIENCE,
                PATIENCE);
        int served = 0;
        for (int round = 0; round < TRIES && served < REQUESTS; round++) {
            if (isAnswered(caller, request)) {
                served++;
            } else {
                LockSupport.parkNanos(PAUSE.toNanos());
            }
        }
        return served == REQUESTS;
    }

    private boolean isAnswered(Address address, OutboundRequest request) {
        Either<UpstreamFailure, BufferedResponse> answer =
                client.exchange(address, request, ResponseMatcher.framed(), BODY_LIMIT_BYTES, Cancellation.create());
        return answer.exists(whole -> whole.status() == OK);
    }

    private NodeSettings settings() throws IOException {
        NodeSettings.Repeats repeats = new NodeSettings.Repeats(0, 0, DurationText.of("10s"));
        NodeSettings.Mesh mesh =
                new NodeSettings.Mesh(free(), free(), DurationText.of("60s"), DurationText.of("5s"), repeats);
        return new NodeSettings(
                NodeId.of(NAME),
                Region.of(NAME),
                AvailabilityZone.of(NAME),
                Region.of(NAME),
                new NodeSettings.Listen(free(), free(), free(), free()),
                new NodeSettings.Platform(store.address(), 100, 1_000),
                new NodeSettings.Target(target.address(), ServiceName.of(NAME), "/", "/"),
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Optional.of(mesh));
    }

    private static Address free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return Address.of(LOOPBACK, socket.getLocalPort());
        }
    }
}
