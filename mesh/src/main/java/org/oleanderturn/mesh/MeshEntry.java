package org.oleanderturn.mesh;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.HeaderValues;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.proxy.UpstreamFailure;
import org.oleanderturn.traffic.CoreAdmission;
import org.oleanderturn.traffic.TrafficSplitter;

/**
 * Serves the requests of this host's clients by sending them to guards.
 *
 * <p>Invariants: a request is routed by one configuration snapshot; it is denied only by a version that is known to be the
 * newest in force; its client gets the target's complete response, or one
 * of the node's own that says truly whether the request can have run; a cancelled request gets its response at once.
 * Thread safe.
 */
public final class MeshEntry implements RequestHandler {
    /** When a client may retry at a node that is not ready; a node takes about as long to start. */
    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofMillis(500);

    /** When a client may retry at a node that lacks a version or can't confirm its own; a transfer takes about as long. */
    private static final Duration VERSION_RETRY_AFTER = Duration.ofMillis(400);

    /** When a client may retry at a node whose memory for bodies is used up; most requests end within this time. */
    private static final Duration MEMORY_RETRY_AFTER = Duration.ofMillis(300);

    /** When a client may retry at another node, as this one stops. */
    private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(100);

    private final Supplier<RouteIndex> routes;
    private final BooleanSupplier isReady;
    private final VersionCheck versionCheck;
    private final ProtocolAdapter adapter;
    private final MeshEntryDependencies dependencies;
    private final AtomicReference<Optional<EntryStop>> stop = new AtomicReference<>(Optional.empty());
    private final ClientWaitEstimator waitEstimator = ClientWaitEstimator.create();
    private final TrafficSplitter splitter = TrafficSplitter.create();
    private final ConcurrentHashMap<NodeId, Set<Cancellation>> cancellationsByNode = new ConcurrentHashMap<>();

    private MeshEntry(
            Supplier<RouteIndex> routes,
            BooleanSupplier isReady,
            VersionCheck versionCheck,
            ProtocolAdapter adapter,
            MeshEntryDependencies dependencies) {
        this.routes = routes;
        this.isReady = isReady;
        this.versionCheck = versionCheck;
        this.adapter = adapter;
        this.dependencies = dependencies;
    }

    /**
     * Returns an entry that routes by the given index.
     *
     * @param routes returns the routes in force
     * @param isReady returns whether the node has a configuration that it may serve by
     * @param versionCheck is asked before a request without a route is denied
     */
    public static MeshEntry of(
            Supplier<RouteIndex> routes,
            BooleanSupplier isReady,
            VersionCheck versionCheck,
            ProtocolAdapter adapter,
            MeshEntryDependencies dependencies) {
        Objects.requireNonNull(routes, "routes is null");
        Objects.requireNonNull(isReady, "isReady is null");
        Objects.requireNonNull(versionCheck, "versionCheck is null");
        Objects.requireNonNull(adapter, "adapter is null");
        Objects.requireNonNull(dependencies, "dependencies is null");
        return new MeshEntry(routes, isReady, versionCheck, adapter, dependencies);
    }

    @Override
    public Response handle(InboundRequest request) throws IOException {
        // The client's time has run since the request arrived, not since it was read.
        long receivedNanoseconds = dependencies.clockNanoseconds().getAsLong()
                - request.readDelay().toNanos();
        ClientRequestMetadata client = adapter.clientMetadata(request);
        Either<UpstreamFailure.Limit, byte[]> body = request.readReservedBody(MeshGuard.BODY_LIMIT_BYTES);
        boolean isServing = isReady.getAsBoolean();
        // Read after the readiness, which may come with a newer index.
        RouteIndex index = routes.get();
        ClientResponses responses = new ClientResponses(
                client.attemptId(),
                request.readDelay(),
                receivedNanoseconds,
                index.snapshot().version(),
                dependencies);
        if (!isServing || index.isEmpty()) {
            return responses.notRun("NOT_READY", 0, NOT_READY_RETRY_AFTER);
        }
        long read = dependencies.clockNanoseconds().getAsLong();
        if (stop.get().filter(announced -> announced.isTooLate(read)).isPresent()) {
            return responses.notRun("STOPPING", 0, STOPPING_RETRY_AFTER);
        }
        if (body.isLeft()) {
            return body.getLeft() == UpstreamFailure.Limit.MEMORY
                    ? responses.notRun("MEMORY_FULL", 0, MEMORY_RETRY_AFTER)
                    : responses.refused(HttpStatuses.CONTENT_TOO_LARGE, "BODY_TOO_LARGE");
        }
        Optional<RouteIndex.Match> match = index.find(client.host(), request.method(), request.path());
        if (match.isEmpty()) {
            VersionStatus status = versionCheck.check(index.snapshot().version());
            // The check may have brought a newer version.
            index = routes.get();
            responses = responses.withVersion(index.snapshot().version());
            match = index.find(client.host(), request.method(), request.path());
            if (match.isEmpty()) {
                return deny(status, responses);
            }
        }
        if (!isAdmitted(request, match.get())) {
            return responses.notRun("NODE_BUSY", 0, dependencies.admission().retryAfter(request.readDelay()));
        }
        MeshRequest routed = routedRequest(request, client, body.get(), match.get(), index, receivedNanoseconds);
        Optional<Response> refusal = refusalByLimit(routed, responses);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        EntryDispatch dispatch =
                new EntryDispatch(routed, request::hasPeerLeft, dependencies, responses, cancellationsByNode);
        request.onPeerDisconnect(dispatch::onClientDisconnect);
        return dispatch.run();
    }

    /** Takes the request from the limit of its organisation; returns the response to a request that is not within it. */
    private Optional<Response> refusalByLimit(MeshRequest request, ClientResponses responses) {
        if (request.organisation().isEmpty()) {
            return Optional.empty();
        }
        return switch (dependencies.limiter().tryAcquire(request.organisation().get())) {
            case LimitDecision.Granted _ -> Optional.empty();
            case LimitDecision.Exceeded exceeded -> Optional.of(responses.overLimit(exceeded.retryAfter()));
            case LimitDecision.Undetermined undetermined ->
                Optional.of(responses.notRun("LIMIT_UNDETERMINED", 0, undetermined.retryAfter()));
        };
    }

    /** Admits each call of the local target in time: its refusal would waste the run that waits for it. */
    private boolean isAdmitted(InboundRequest request, RouteIndex.Match match) {
        CoreAdmission admission = dependencies.admission();
        return request.isFromOwnHost()
                ? admission.tryAdmitCall(request.readDelay())
                : admission.tryAdmit(request.readDelay(), match.route().effectivePriority());
    }

    /** Returns the response to a request for which no route is known. */
    private static Response deny(VersionStatus status, ClientResponses responses) {
        return switch (status) {
            case VersionStatus.Newest _ -> responses.refused(HttpStatuses.NOT_FOUND, "NO_ROUTE");
            case VersionStatus.Behind _ -> responses.notRun("CONFIGURATION_BEHIND", 0, VERSION_RETRY_AFTER);
            case VersionStatus.Unconfirmed _ -> responses.notRun("CONFIGURATION_UNCONFIRMED", 0, VERSION_RETRY_AFTER);
        };
    }

    /** Takes no requests that come too late for the end of the node, and lets the others end before it. */
    public void stop(EntryStop announced) {
        stop.set(Optional.of(announced));
    }

    /** Cancels the attempts that wait for a node, after it became unreachable. */
    public void cancelAttempts(NodeId node) {
        Set<Cancellation> cancellations = cancellationsByNode.remove(node);
        if (cancellations != null) {
            cancellations.forEach(Cancellation::cancel);
        }
    }

    private MeshRequest routedRequest(
            InboundRequest request,
            ClientRequestMetadata client,
            byte[] body,
            RouteIndex.Match match,
            RouteIndex index,
            long receivedNanoseconds) {
        Duration timeout = Duration.ofMillis(match.policy().timeoutMilliseconds());
        Duration limit =
                client.timeout().filter(stated -> stated.compareTo(timeout) < 0).orElse(timeout);
        long deadlineNanoseconds = receivedNanoseconds + limit.toNanos();
        ServiceName service = splitter.chooseService(match.route());
        Duration earlierWait = client.timeout()
                .map(stated -> waitEstimator.estimateWait(match.route().name(), stated))
                .orElse(Duration.ZERO);
        return new MeshRequest(
                request.method(),
                request.path(),
                HeaderValues.forwardable(request.headers()),
                body,
                RequestIdentity.of(request.method(), request.path(), body),
                client,
                match,
                service,
                index.snapshot().version(),
                receivedNanoseconds,
                stop.get()
                        .map(announced -> announced.limit(deadlineNanoseconds))
                        .orElse(deadlineNanoseconds),
                earlierWait,
                Optional.empty(),
                request.bodyReservation());
    }
}
