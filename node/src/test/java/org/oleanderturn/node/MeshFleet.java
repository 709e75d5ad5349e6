package org.oleanderturn.node;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.AvailabilityZone;
import org.oleanderturn.model.DurationText;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Region;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.platform.FakeOperator;
import org.oleanderturn.platform.FakePlatformStore;
import org.oleanderturn.platform.FakeTarget;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.OutboundRequest;
import org.oleanderturn.proxy.ResponseMatcher;
import org.oleanderturn.proxy.SendPolicy;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.proxy.UpstreamFailure;

/**
 * Nodes of the users' platform on loopback, each with a target, in two regions of two availability zones, with the
 * platform's store. Every run at any target is recorded.
 *
 * <p>Used by one thread; requests may be sent by several.
 */
final class MeshFleet implements AutoCloseable {
    static final String SERVICE = "orders";
    private static final String LOOPBACK = "127.0.0.1";
    private static final Duration STEP_LIMIT = Duration.ofSeconds(20);
    private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(3);
    private static final long POLL_NANOSECONDS = Duration.ofMillis(20).toNanos();
    private static final int BODY_LIMIT_BYTES = 65_536;
    private static final int LOG_CLOSE_MILLISECONDS = 500;
    static final int MAXIMUM_ATTEMPTS = 3;
    private static final int LOWEST_PORT = 10_000;

    /** From here on the operating system gives ports to connections. */
    private static final int LOWEST_EPHEMERAL_PORT = 32_768;

    private static final int ZONES = 4;
    private static final Set<Integer> RETURNED_PORTS = ConcurrentHashMap.newKeySet();

    /** A request that a target began to run, and when. */
    record Run(int host, String path, String attemptId, long nanoseconds) {}

    /** A host: the settings of its node, the running node and its log, and its target. */
    private static final class Host {
        private final NodeSettings settings;
        private final ByteArrayOutputStream log = new ByteArrayOutputStream();
        private LogWriter writer;
        private Optional<MeshNode> node = Optional.empty();
        private FakeTarget target;

        private Host(NodeSettings settings) {
            this.settings = settings;
        }
    }

    private final FakePlatformStore store = FakePlatformStore.start();
    private final UpstreamClient client = UpstreamClient.of(200);
    private final List<Host> hosts = new ArrayList<>();
    private final List<Run> runs = new CopyOnWriteArrayList<>();
    private final AtomicInteger lastAttempt = new AtomicInteger();
    private volatile String pathThatEndsNodes = "";
    private Optional<NodeSettings.Rollouts> rollouts = Optional.empty();
    private int zones = ZONES;

    /** Starts a fleet and waits until each of its nodes knows all others and serves requests. */
    static MeshFleet start(int size) throws IOException {
        return start(size, Optional.empty());
    }

    /** Starts a fleet whose settings have the given section on rollouts. */
    static MeshFleet start(int size, Optional<NodeSettings.Rollouts> rollouts) throws IOException {
        MeshFleet fleet = new MeshFleet();
        fleet.rollouts = rollouts;
        return start(fleet, size);
    }

    /** Starts a fleet of which the first zones have all nodes. */
    static MeshFleet startInZones(int size, int zones) throws IOException {
        MeshFleet fleet = new MeshFleet();
        fleet.zones = zones;
        return start(fleet, size);
    }

    private static MeshFleet start(MeshFleet fleet, int size) throws IOException {
        FakeOperator.configure(fleet.store, 1, SERVICE, MAXIMUM_ATTEMPTS);
        for (int host = 0; host < size; host++) {
            fleet.hosts.add(new Host(fleet.settings(host)));
            fleet.startNode(host);
            fleet.startTarget(host);
        }
        fleet.awaitServing();
        return fleet;
    }

    // -- queries

    FakePlatformStore store() {
        return store;
    }

    FakeTarget target(int host) {
        return hosts.get(host).target;
    }

    List<Run> runs(String path) {
        return runs.stream().filter(run -> run.path().equals(path)).toList();
    }

    /** Returns all runs so far. */
    List<Run> runs() {
        return List.copyOf(runs);
    }

    /** Returns the runs of a path that began after the third one had ended its target. */
    int runsAfterTheThird(String path) {
        return Math.max(0, runs(path).size() - 3);
    }

    /** Returns the lines that all nodes have written so far. */
    List<String> log() {
        List<String> lines = new ArrayList<>();
        for (Host host : hosts) {
            synchronized (host.log) {
                host.log.toString(StandardCharsets.UTF_8).lines().forEach(lines::add);
            }
        }
        return lines;
    }

    /** Returns where a node takes the requests of clients. */
    Address callerAddress(int host) {
        return hosts.get(host).settings.listen().caller();
    }

    /** Returns the page of a node's metrics. */
    String metrics(int host) {
        return page(host, "/metrics");
    }

    /** Returns a page that a node has for its operator; empty if it does not answer. */
    String page(int host, String path) {
        Address address = hosts.get(host).settings.mesh().orElseThrow().metrics();
        return get(address, path)
                .map(response -> new String(response.body(), StandardCharsets.UTF_8))
                .getOrElse("");
    }

    // -- requests

    /** Sends a request to the node of a host as a new attempt of a client. */
    Either<UpstreamFailure, BufferedResponse> send(int host, String path, HeaderField... added) {
        List<HeaderField> headers = new ArrayList<>(
                FakeOperator.clientHeaders("a" + lastAttempt.incrementAndGet(), CLIENT_TIMEOUT.toMillis()));
        headers.addAll(List.of(added));
        OutboundRequest request = new OutboundRequest(
                path.startsWith("/single/") ? "POST" : "GET",
                path,
                headers,
                new byte[0],
                SendPolicy.NEW_CONNECTION,
                CLIENT_TIMEOUT,
                CLIENT_TIMEOUT);
        Address caller = hosts.get(host).settings.listen().caller();
        return client.exchange(caller, request, ResponseMatcher.framed(), BODY_LIMIT_BYTES, Cancellation.create());
    }

    int status(int host, String path, HeaderField... added) {
        return send(host, path, added).map(BufferedResponse::status).getOrElse(0);
    }

    // -- faults

    synchronized void killNode(int host) {
        if (hosts.get(host).node.isPresent()) {
            hosts.get(host).node.get().close();
            hosts.get(host).node = Optional.empty();
            hosts.get(host).writer.close(LOG_CLOSE_MILLISECONDS);
        }
    }

    /** Stops a node as a SIGTERM does; blocks until it has ended. */
    void stopNode(int host) {
        hosts.get(host).node.orElseThrow().stop();
    }

    /** Ends the node of each host, from now on, whose target runs the given path; not the first, where others join. */
    void endNodesWithTargets(String path) {
        pathThatEndsNodes = path;
    }

    /** Starts the nodes that were ended with their targets; from now on targets end alone. */
    void startDeadNodes() {
        pathThatEndsNodes = "";
        for (int host = 0; host < hosts.size(); host++) {
            if (hosts.get(host).node.isEmpty()) {
                startNode(host);
            }
        }
    }

    void startNode(int host) {
        Host started = hosts.get(host);
        started.writer = LogWriter.start(started.log);
        started.node =
                Optional.of(MeshNode.start(started.settings, started.writer).get());
    }

    /** Waits until every node serves and every target that is up has been heard of by all nodes. */
    void awaitServing() {
        for (int host = 0; host < hosts.size(); host++) {
            int entry = host;
            await(() -> status(entry, "/lookup/ping-" + entry) == 200);
        }
        for (int host = 0; host < hosts.size(); host++) {
            int entry = host;
            long others = hosts.size() - 1L;
            await(() -> metrics(entry).contains("oleanderturn_members_reachable " + others + ".0"));
        }
    }

    static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + STEP_LIMIT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("the condition did not hold within " + STEP_LIMIT);
            }
            LockSupport.parkNanos(POLL_NANOSECONDS);
        }
    }

    @Override
    public void close() {
        hosts.forEach(host -> host.target.close());
        for (int host = 0; host < hosts.size(); host++) {
            killNode(host);
        }
        client.close();
        store.close();
    }

    // -- start

    private void startTarget(int host) {
        NodeSettings settings = hosts.get(host).settings;
        hosts.get(host).target = FakeTarget.start(
                SERVICE,
                settings.target().address(),
                settings.mesh().orElseThrow().targetCalls(),
                (_, path, attemptId) -> recordRun(new Run(host, path, attemptId, System.nanoTime())));
    }

    private void recordRun(Run run) {
        runs.add(run);
        if (run.path().equals(pathThatEndsNodes) && run.host() > 0) {
            killNode(run.host());
        }
    }

    private NodeSettings settings(int host) throws IOException {
        NodeSettings.Mesh mesh = new NodeSettings.Mesh(
                freeAddress(),
                freeAddress(),
                DurationText.of("500ms"),
                DurationText.of("5s"),
                new NodeSettings.RetryLimit(0.2, 60, DurationText.of("10s")),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                rollouts,
                Optional.empty(),
                Optional.empty());
        int zone = host % zones;
        Region region = Region.of(zone < ZONES / 2 ? "south" : "north");
        List<Address> join = hosts.isEmpty()
                ? List.of()
                : List.of(hosts.getFirst().settings.listen().control());
        return new NodeSettings(
                NodeId.of("node-" + host),
                region,
                AvailabilityZone.of("zone-" + zone),
                Region.of("south"),
                new NodeSettings.Listen(freeAddress(), freeAddress(), freeAddress(), freeAddress()),
                new NodeSettings.Platform(store.address(), 100, 1_000),
                new NodeSettings.Target(freeAddress(), ServiceName.of(SERVICE), "/healthz", "/healthz"),
                join,
                Optional.empty(),
                Optional.empty(),
                Optional.of(mesh));
    }

    private Either<UpstreamFailure, BufferedResponse> get(Address address, String path) {
        OutboundRequest request = new OutboundRequest(
                "GET", path, List.of(), new byte[0], SendPolicy.NEW_CONNECTION, CLIENT_TIMEOUT, CLIENT_TIMEOUT);
        return client.exchange(address, request, ResponseMatcher.framed(), BODY_LIMIT_BYTES, Cancellation.create());
    }

    /** Returns an address whose port no connection takes as its own meanwhile, and that was not returned before. */
    private static Address freeAddress() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, LOWEST_EPHEMERAL_PORT);
            if (RETURNED_PORTS.add(port) && isFree(port)) {
                return Address.of(LOOPBACK, port);
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket _ = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return true;
        } catch (IOException taken) {
            return false;
        }
    }
}
