package org.oleanderturn.mesh;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Organisation;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.HeaderValues;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.proxy.UpstreamFailure;
import org.oleanderturn.traffic.CoreAdmission;
import org.oleanderturn.traffic.RequestSender;
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

    /** When a client may retry at a node whose memory for bodies is used up; most requests end within this time. */
    private static final Duration MEMORY_RETRY_AFTER = Duration.ofMillis(300);

    /** When a client may retry at another node, as this one stops. */
    private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(100);

    /** The reason of a request that the node's own core has no time for. */
    private static final String NODE_BUSY = "NODE_BUSY";

    private final RequestRouter router;
    private final BooleanSupplier isReady;
    private final ProtocolAdapter adapter;
    private final MeshEntryDependencies dependencies;
    private final AtomicReference<Optional<EntryStop>> stop = new AtomicReference<>(Optional.empty());
    private final ClientWaitEstimator waitEstimator = ClientWaitEstimator.create();
    private final TrafficSplitter splitter = TrafficSplitter.create();
    private final ConcurrentHashMap<NodeId, Set<Cancellation>> cancellationsByNode = new ConcurrentHashMap<>();

    private MeshEntry(
            RequestRouter router,
            BooleanSupplier isReady,
            ProtocolAdapter adapter,
            MeshEntryDependencies dependencies) {
        this.router = router;
        this.isReady = isReady;
        this.adapter = adapter;
        this.dependencies = dependencies;
    }

    /**
     * Returns an entry that routes by the given index.
     *
     * @param routes returns the routes in force
     * @param isReady returns whether the node has a configuration that it may serve by
     * @param versionCheck is asked before a request without a route or with an unknown key is denied
     * @param authenticator decides who sent a request
     */
    public static MeshEntry of(
            Supplier<RouteIndex> routes,
            BooleanSupplier isReady,
            VersionCheck versionCheck,
            Authenticator authenticator,
            ProtocolAdapter adapter,
            MeshEntryDependencies dependencies) {
        Objects.requireNonNull(isReady, "isReady is null");
        Objects.requireNonNull(adapter, "adapter is null");
        Objects.requireNonNull(dependencies, "dependencies is null");
        return new MeshEntry(RequestRouter.of(routes, versionCheck, authenticator), isReady, adapter, dependencies);
    }

    @Override
    public Response handle(InboundRequest request) throws IOException {
        // The client's time has run since the request arrived, not since it was read.
        long receivedNanoseconds = dependencies.clockNanoseconds().getAsLong()
                - request.readDelay().toNanos();
        ClientRequestMetadata client = adapter.clientMetadata(request);
        Optional<Response> early = refusalBeforeBody(request, client, receivedNanoseconds);
        if (early.isPresent()) {
            return early.get();
        }
        Either<UpstreamFailure.Limit, byte[]> body = request.readReservedBody(MeshGuard.BODY_LIMIT_BYTES);
        boolean isServing = isReady.getAsBoolean();
        // Read after the readiness, which may come with a newer index.
        RouteIndex index = router.index();
        ClientResponses responses = responses(request, client, index, receivedNanoseconds);
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
        // Again, as the key may have been removed while the body was read.
        Either<RoutingDenial, RequestRouter.Routed> routed = router.route(request.method(), request.path(), client);
        if (routed.isLeft()) {
            return responses.denied(routed.getLeft(), 0);
        }
        ClientResponses routedResponses =
                responses.withVersion(routed.get().index().snapshot().version());
        return dispatch(
                request, meshRequest(request, client, body.get(), routed.get(), receivedNanoseconds), routedResponses);
    }

    private Response dispatch(InboundRequest inbound, MeshRequest request, ClientResponses responses)
            throws IOException {
        if (!isAdmitted(inbound, request)) {
            recordBusy(request);
            return responses.notRun(NODE_BUSY, 0, dependencies.admission().retryAfter(inbound.coreDelay()));
        }
        LimitDecision limit = request.organisation()
                .map(organisation -> dependencies
                        .limiter()
                        .tryAcquire(
                                organisation,
                                request.isLate(dependencies.clockNanoseconds().getAsLong())))
                .orElseGet(LimitDecision.Granted::uncounted);
        return switch (limit) {
            case LimitDecision.Granted granted -> run(inbound, request, responses, granted);
            case LimitDecision.Exceeded exceeded -> responses.overLimit(exceeded.retryAfter());
            case LimitDecision.Undetermined undetermined ->
                responses.notRun("LIMIT_UNDETERMINED", 0, undetermined.retryAfter());
        };
    }

    private Response run(
            InboundRequest inbound, MeshRequest request, ClientResponses responses, LimitDecision.Granted granted)
            throws IOException {
        EntryDispatch dispatch = new EntryDispatch(
                request,
                inbound::hasPeerLeft,
                () -> router.recheckKey(request),
                dependencies,
                responses,
                cancellationsByNode);
        inbound.onPeerDisconnect(dispatch::onClientDisconnect);
        Response response = dispatch.run();
        if (dispatch.isKnownNotToHaveRun()) {
            request.organisation()
                    .ifPresent(organisation -> dependencies.limiter().giveBack(organisation, granted));
        }
        return response;
    }

    /**
     * Refuses a request that the configuration does not allow before its body is read, where keys are required: a client
     * without a key could make the node read bodies of any length.
     */
    private Optional<Response> refusalBeforeBody(
            InboundRequest request, ClientRequestMetadata client, long receivedNanoseconds) {
        RouteIndex index = router.index();
        if (!index.areKeysRequired() || !isReady.getAsBoolean()) {
            return Optional.empty();
        }
        Either<RoutingDenial, RequestRouter.Routed> routed = router.route(request.method(), request.path(), client);
        return routed.isRight()
                ? Optional.empty()
                : Optional.of(
                        responses(request, client, index, receivedNanoseconds).denied(routed.getLeft(), 0));
    }

    private ClientResponses responses(
            InboundRequest request, ClientRequestMetadata client, RouteIndex index, long receivedNanoseconds) {
        return new ClientResponses(
                client.attemptId(),
                request.readDelay(),
                receivedNanoseconds,
                index.snapshot().version(),
                dependencies);
    }

    /**
     * Admits each call of the local target in time: its refusal would waste the run that waits for it. Where organisations are
     * declared, only a request without a key can be one; the address tells nothing, as clients share the host. A wait behind
     * other requests of a connection says nothing of the core.
     */
    private boolean isAdmitted(InboundRequest inbound, MeshRequest request) {
        CoreAdmission admission = dependencies.admission();
        Duration lateness = inbound.coreDelay();
        if (request.organisation().isPresent()) {
            return admission.tryAdmit(
                    lateness, request.rank(), request.organisation().get().name());
        }
        boolean isCall = request.isPossibleCall() || inbound.isFromOwnHost();
        return isCall ? admission.tryAdmitCall(lateness) : admission.tryAdmit(lateness, request.rank());
    }

    private void recordBusy(MeshRequest request) {
        request.organisationName()
                .ifPresent(organisation -> dependencies
                        .decisionLog()
                        .record(new Decision.Withheld(
                                request.attemptId(),
                                NODE_BUSY,
                                request.rank(),
                                organisation,
                                dependencies.admission().isOverShare(request.rank(), organisation))));
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

    private List<HeaderField> headersToForward(InboundRequest request, RouteIndex index) {
        List<HeaderField> forwardable = HeaderValues.forwardable(request.headers());
        return index.areKeysRequired() ? adapter.withoutCredentials(forwardable) : forwardable;
    }

    private OptionalInt callRank(RequestRouter.Routed routed) {
        boolean isPossibleCall =
                routed.index().areKeysRequired() && routed.organisation().isEmpty();
        return isPossibleCall
                ? MeshRequest.callRank(
                        routed.match().route(), dependencies.guardClient().mostUrgentLocalRank())
                : OptionalInt.empty();
    }

    private MeshRequest meshRequest(
            InboundRequest request,
            ClientRequestMetadata client,
            byte[] body,
            RequestRouter.Routed routed,
            long receivedNanoseconds) {
        RouteIndex.Match match = routed.match();
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
                headersToForward(request, routed.index()),
                body,
                RequestIdentity.of(
                        request.method(),
                        client.host(),
                        request.path(),
                        RequestSender.of(
                                dependencies.callerService(),
                                routed.organisation().map(Organisation::name)),
                        body),
                client,
                match,
                service,
                routed.index().snapshot().version(),
                receivedNanoseconds,
                stop.get()
                        .map(announced -> announced.limit(deadlineNanoseconds))
                        .orElse(deadlineNanoseconds),
                earlierWait,
                routed.organisation(),
                callRank(routed),
                request.bodyReservation());
    }
}
