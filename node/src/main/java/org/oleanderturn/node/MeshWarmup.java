package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.oleanderturn.mesh.RequestLimiter;
import org.oleanderturn.mesh.RolloutPlacement;
import org.oleanderturn.mesh.RouteIndex;
import org.oleanderturn.mesh.VersionStatus;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.TrafficPolicy;
import org.oleanderturn.model.TrafficPolicyName;
import org.oleanderturn.platform.RehearsalMessages;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.HttpListener;
import org.oleanderturn.proxy.ListenerFailure;
import org.oleanderturn.proxy.ListenerLimits;
import org.oleanderturn.proxy.OutboundRequest;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.proxy.ResponseMatcher;
import org.oleanderturn.proxy.SendPolicy;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.proxy.UpstreamFailure;

/**
 * Sends requests through an entry and a guard of its own while the node has no others, so that the first of these find the
 * request path compiled.
 *
 * <p>Invariants: it shares no state with the node's own entry and guard; its listeners are bound to loopback and closed at
 * the end; it uses at most half of the core. Not thread safe.
 */
final class MeshWarmup implements AutoCloseable {
    /** Requests after which the methods of the path are compiled. */
    static final int REQUESTS = 300;

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final String LOOPBACK = "127.0.0.1";
    private static final String NAME = RehearsalMessages.SERVICE;
    private static final int OK = 200;
    private static final int SLOTS = 4;
    private static final int POLICY_TIMEOUT_MILLISECONDS = 2_000;
    private static final int BODY_LIMIT_BYTES = 65_536;
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final Service SERVICE = Service.of(NAME, SLOTS, SLOTS);
    private static final TrafficPolicy POLICY =
            new TrafficPolicy(TrafficPolicyName.of(NAME), POLICY_TIMEOUT_MILLISECONDS, 1, 0, 0, 0, 0, 0);

    private final NodeSettings settings;
    private final UpstreamClient client = UpstreamClient.of(1);
    private final List<HttpListener> listeners = new ArrayList<>();
    private final List<MeshDataPlane> planes = new ArrayList<>();

    private MeshWarmup(NodeSettings settings) {
        this.settings = settings;
    }

    /** Waits until the node serves, and sends requests as long as it has none of its own; blocks. */
    static void runOnceServing(NodeSettings settings, BooleanSupplier isServing, BooleanSupplier isUsed) {
        try {
            while (!isServing.getAsBoolean()) {
                Thread.sleep(CHECK_INTERVAL);
            }
            // Half of the time is left to other work.
            run(settings, settings.warmupTimeout().multipliedBy(2), isUsed);
        } catch (InterruptedException stop) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Sends requests until enough were answered, the time is over, or it shall stop; blocks.
     *
     * @param settings those of the node, with a section {@code mesh}
     * @param isOver whether the node has requests of its own
     * @return how many requests were answered
     */
    static int run(NodeSettings settings, Duration timeout, BooleanSupplier isOver) throws InterruptedException {
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(timeout, "timeout is null");
        Objects.requireNonNull(isOver, "isOver is null");
        try (MeshWarmup warmup = new MeshWarmup(settings)) {
            Either<ListenerFailure, Address> entry = warmup.start();
            if (entry.isLeft()) {
                log.atWarning().log("no warm-up: %s", entry.getLeft());
                return 0;
            }
            int answered = warmup.send(entry.get(), System.nanoTime() + timeout.toNanos(), isOver);
            log.atInfo().log("warmed up with %d requests", answered);
            return answered;
        }
    }

    @Override
    public void close() {
        listeners.forEach(HttpListener::close);
        planes.forEach(MeshDataPlane::close);
        client.close();
    }

    // -- listeners

    private Either<ListenerFailure, Address> start() {
        Response response = Response.of(
                OK, RehearsalMessages.targetResponseHeaders(), new Response.Body.Buffered(new byte[] {'x'}));
        return listen(_ -> response).flatMap(this::startNode);
    }

    private Either<ListenerFailure, Address> startNode(Address target) {
        NodeSettings changed = settings.withTarget(new NodeSettings.Target(target, SERVICE.name(), "/", "/"));
        List<Endpoint> endpoints = new ArrayList<>();
        MeshDataPlane plane = new MeshDataPlane(
                changed,
                changed.mesh().orElseThrow(),
                () -> EndpointView.of(endpoints),
                () -> 1,
                RolloutPlacement.none(),
                _ -> {
                    // Nobody looks for these requests.
                },
                RequestLimiter.unlimited(),
                DataPlaneRuntime.ofProcess());
        planes.add(plane);
        return listen(plane.targetCallHandler())
                .peek(targetCalls -> sendHeartbeat(target, targetCalls))
                .flatMap(_ -> listen(plane.guard()))
                .peek(guard -> endpoints.add(new Endpoint(
                        NodeId.of(NAME), guard, settings.locality(), SERVICE.name(), SLOTS, EndpointState.READY, 1)))
                .flatMap(_ -> listen(plane.serve(MeshWarmup::routes, () -> true, _ -> new VersionStatus.Newest())));
    }

    private Either<ListenerFailure, Address> listen(RequestHandler handler) {
        return HttpListener.start(LOOPBACK, 0, handler, ListenerLimits.defaults())
                .peek(listeners::add)
                .map(HttpListener::address);
    }

    private static RouteIndex routes() {
        Route route = new Route(
                RouteName.of(NAME),
                "/",
                List.of(),
                SERVICE.name(),
                RequestKind.LOOKUP,
                POLICY.name(),
                Optional.of(RehearsalMessages.HOST),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
        return RouteIndex.of(ConfigurationSnapshot.of(
                ConfigurationVersion.of(1), Configuration.of(List.of(SERVICE), List.of(route), List.of(POLICY))));
    }

    // -- requests

    private int send(Address entry, long end, BooleanSupplier isOver) throws InterruptedException {
        int answered = 0;
        while (answered < REQUESTS && System.nanoTime() - end < 0 && !isOver.getAsBoolean()) {
            long sent = System.nanoTime();
            if (!isAnswered(entry, "GET", RehearsalMessages.PATH, RehearsalMessages.clientHeaders(), new byte[0])) {
                return answered;
            }
            answered++;
            // Leaves the other half of the core to what the node starts with.
            Thread.sleep(Duration.ofNanos(System.nanoTime() - sent));
        }
        return answered;
    }

    private void sendHeartbeat(Address target, Address targetCalls) {
        byte[] body = RehearsalMessages.heartbeatBody(target);
        isAnswered(targetCalls, "POST", RehearsalMessages.heartbeatPath(), List.of(), body);
    }

    private boolean isAnswered(Address address, String method, String path, List<HeaderField> headers, byte[] body) {
        OutboundRequest request =
                new OutboundRequest(method, path, headers, body, SendPolicy.POOLED, REQUEST_TIMEOUT, REQUEST_TIMEOUT);
        Either<UpstreamFailure, BufferedResponse> response =
                client.exchange(address, request, ResponseMatcher.framed(), BODY_LIMIT_BYTES, Cancellation.create());
        return response.exists(complete -> complete.status() == OK);
    }
}
