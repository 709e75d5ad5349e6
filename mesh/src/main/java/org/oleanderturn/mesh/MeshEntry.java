package org.oleanderturn.mesh;

import java.io.IOException;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.HeaderValues;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.traffic.TrafficSplitter;

/**
 * Answers the requests of this host's clients by sending them to guards.
 *
 * <p>Invariants: a request is routed by one snapshot; its client gets its target's whole answer, or one of the node's own
 * that says truly whether it can have run; a request that is given up is answered at once. Thread safe.
 */
public final class MeshEntry implements RequestHandler {
    /** How soon a client may come back to a node that is not ready; a start takes about as long. */
    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofMillis(500);

    private final Supplier<RouteIndex> routes;
    private final BooleanSupplier isReady;
    private final ProtocolAdapter adapter;
    private final MeshEntryDependencies dependencies;
    private final ClientWaitEstimator waitEstimator = ClientWaitEstimator.create();
    private final TrafficSplitter splits = TrafficSplitter.create();
    private final ConcurrentHashMap<NodeId, Set<Cancellation>> cancellationsByNode = new ConcurrentHashMap<>();

    private MeshEntry(
            Supplier<RouteIndex> routes,
            BooleanSupplier isReady,
            ProtocolAdapter dialect,
            MeshEntryDependencies parts) {
        this.routes = routes;
        this.isReady = isReady;
        this.adapter = dialect;
        this.dependencies = parts;
    }

    /**
     * Returns an entry.
     *
     * @param routes gives the routes in force
     * @param isReady says whether the node holds a configuration that it may serve
     */
    public static MeshEntry of(
            Supplier<RouteIndex> routes,
            BooleanSupplier isReady,
            ProtocolAdapter dialect,
            MeshEntryDependencies parts) {
        Objects.requireNonNull(routes, "routes is null");
        Objects.requireNonNull(isReady, "isReady is null");
        Objects.requireNonNull(dialect, "dialect is null");
        Objects.requireNonNull(parts, "parts is null");
        return new MeshEntry(routes, isReady, dialect, parts);
    }

    @Override
    public Response handle(InboundRequest request) throws IOException {
        long begun = dependencies.clockNanoseconds().getAsLong();
        ClientRequestMetadata client = adapter.clientMetadata(request);
        Optional<byte[]> body = request.readBody(MeshGuard.BODY_LIMIT_BYTES);
        RouteIndex index = routes.get();
        ClientAnswers answers =
                new ClientAnswers(client.attemptId(), begun, index.snapshot().version(), dependencies);
        if (!isReady.getAsBoolean()) {
            return answers.notRun("NOT_READY", 0, NOT_READY_RETRY_AFTER);
        }
        if (body.isEmpty()) {
            return answers.refused(HttpStatuses.CONTENT_TOO_LARGE, "BODY_TOO_LARGE");
        }
        Optional<RouteIndex.Match> match = index.find(client.host(), request.method(), request.path());
        if (match.isEmpty()) {
            return answers.refused(HttpStatuses.NOT_FOUND, "NO_ROUTE");
        }
        MeshRequest routed = routedRequest(request, client, body.get(), match.get(), index, begun);
        EntryDispatch course = new EntryDispatch(routed, dependencies, answers, cancellationsByNode);
        request.onPeerDisconnect(course::onClientDisconnect);
        return course.run();
    }

    /** Gives up what waits for a node that can't be reached any more. */
    public void cancelAttempts(NodeId node) {
        Set<Cancellation> waiting = cancellationsByNode.remove(node);
        if (waiting != null) {
            waiting.forEach(Cancellation::cancel);
        }
    }

    private MeshRequest routedRequest(
            InboundRequest request,
            ClientRequestMetadata client,
            byte[] body,
            RouteIndex.Match match,
            RouteIndex index,
            long begun) {
        Duration timeout = Duration.ofMillis(match.policy().timeoutMilliseconds());
        Duration longest =
                client.timeout().filter(span -> span.compareTo(timeout) < 0).orElse(timeout);
        ServiceName service = splits.chooseService(match.route());
        Duration waited = client.timeout()
                .map(span -> waitEstimator.estimateWait(match.route().name(), span))
                .orElse(Duration.ZERO);
        return new MeshRequest(
                request.method(),
                request.path(),
                HeaderValues.forwardable(request.headers()),
                body,
                client,
                match,
                service,
                index.snapshot().version(),
                begun,
                begun + longest.toNanos(),
                waited);
    }
}
