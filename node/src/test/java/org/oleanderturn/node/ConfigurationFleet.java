package org.oleanderturn.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.oleanderturn.mesh.Decision;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Locality.Distance;
import org.oleanderturn.platform.FakeOperator;
import org.oleanderturn.proxy.HeaderField;

/**
 * A fleet of nodes in simulated time that take an operator's configuration from the platform's store and from each other,
 * over links and cores of bounded rates, and answer requests by it. Equal seeds give equal courses. Used by one thread.
 */
final class ConfigurationFleet {
    /** How long after its last disturbance a node is in touch. */
    static final Duration STABLE_WINDOW = Duration.ofSeconds(3);

    /** How long after its acknowledgement a version has to be in force, where a test states nothing else. */
    private static final Duration APPLY_TIME = Duration.ofSeconds(3);

    private static final Duration CLIENT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration ZONE_DELAY = Duration.ofNanos(200_000);
    private static final Duration REGION_DELAY = Duration.ofNanos(1_400_000);
    private static final Duration FAR_DELAY = Duration.ofMillis(8);
    private static final double REGION_MEGABITS = 60.0;
    private static final double STORE_MEGABITS = 1_000.0;
    private static final int PERCENT = 100;
    private static final int LOST_FRAMES_PERCENT = 2;
    private static final long LARGE_MESSAGE_BYTES = 20_000;
    private static final long PART_BYTES = 16_000;

    /** What a machine has. */
    record Machine(double cores, double megabitsPerSecond) {}

    /**
     * A fleet's machines: some large ones, drawn from the seed, among small ones.
     *
     * @param reduction divides the routes, the rates of links and cores and the bytes of other messages, so that a course
     *     takes as long as without it in simulated time, and less to compute
     */
    record Shape(int nodes, int zones, int largeNodes, Machine large, Machine small, int reduction) {
        /** Returns the machines in the order of the nodes' ids. */
        private List<Machine> machines(Random random) {
            List<Machine> machines = new ArrayList<>(Collections.nCopies(largeNodes, large));
            machines.addAll(Collections.nCopies(nodes - largeNodes, small));
            Collections.shuffle(machines, random);
            return machines;
        }
    }

    /** A version, the moment of its acknowledgement, and how long after that it has to be in force. */
    record Acknowledgement(OperatorVersions.Version version, long nanoseconds, Duration applyTime) {
        boolean isInForce(long atNanoseconds) {
            return atNanoseconds - nanoseconds > applyTime.toNanos();
        }
    }

    /** A node began to serve by a version. */
    record Adoption(int host, int life, ConfigurationVersion version, long nanoseconds) {}

    /** A large message on its way; the sender is empty when it is the store. */
    record Transfer(Optional<Integer> sender, int receiver, long bytes, long sent, long arrived) {}

    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedTime.Life platform = new SimulatedTime.Life();
    private final ConfigurationStore.Content store = new ConfigurationStore.Content();
    private final Shape shape;
    private final Duration applyTime;
    private final SimulatedLink storeLink;
    private final SimulatedLink northboundLink;
    private final SimulatedLink southboundLink;
    private final Random random;
    private final OperatorVersions operator;
    private final List<ConfigurationHost> hosts = new ArrayList<>();
    private final List<Acknowledgement> acknowledgements = new ArrayList<>();
    private final Map<Long, Integer> routeCounts = new HashMap<>();
    private final List<Adoption> adoptions = new ArrayList<>();
    private final List<Transfer> transfers = new ArrayList<>();
    private final List<ConfigurationProbe> probes = new ArrayList<>();
    private final ConfigurationDiscovery discovery = new ConfigurationDiscovery(this);
    private final long[] sentBytes;
    private int sentProbes;
    private int disturbances;
    private boolean isLosingFrames;
    /** Creates a fleet whose store holds a first version; its nodes are down. */
    ConfigurationFleet(Shape shape, long firstVersion, int firstRoutes, long seed) {
        this(shape, APPLY_TIME, firstVersion, firstRoutes, seed);
    }

    /** Creates such a fleet in which a version has to be in force the given time after its acknowledgement. */
    ConfigurationFleet(Shape shape, Duration applyTime, long firstVersion, int firstRoutes, long seed) {
        this.shape = shape;
        this.applyTime = applyTime;
        storeLink = new SimulatedLink(STORE_MEGABITS / shape.reduction());
        northboundLink = new SimulatedLink(REGION_MEGABITS / shape.reduction());
        southboundLink = new SimulatedLink(REGION_MEGABITS / shape.reduction());
        random = new Random(seed);
        operator = new OperatorVersions(seed);
        sentBytes = new long[shape.nodes()];
        List<Machine> machines = shape.machines(random);
        for (int number = 0; number < shape.nodes(); number++) {
            hosts.add(new ConfigurationHost(this, number, shape, machines.get(number)));
        }
        write(firstVersion, firstRoutes);
    }

    // -- queries

    SimulatedTime time() {
        return time;
    }

    /** Returns the life of what is no node. */
    SimulatedTime.Life platform() {
        return platform;
    }

    Random random() {
        return random;
    }

    ConfigurationStore.Content store() {
        return store;
    }

    /** Returns how the nodes come to know each other. */
    ConfigurationDiscovery discovery() {
        return discovery;
    }

    ConfigurationHost host(int number) {
        return hosts.get(number);
    }

    int zones() {
        return shape.zones();
    }

    List<ConfigurationHost> hosts() {
        return hosts;
    }

    ConfigurationHost hostOf(Address address) {
        return hosts.get(SimulatedSettings.number(address));
    }

    /** Returns the size of a message that does not grow with the routes. */
    long scaled(long bytes) {
        return bytes / shape.reduction();
    }

    int routeCount(ConfigurationVersion version) {
        return routeCounts.getOrDefault(version.number(), 0);
    }

    /** Returns what has been acknowledged, in order. */
    List<Acknowledgement> acknowledgements() {
        return acknowledgements;
    }

    List<ConfigurationProbe> probes() {
        return probes;
    }

    List<Adoption> adoptions() {
        return adoptions;
    }

    List<Transfer> transfers() {
        return transfers;
    }

    /** Returns the bytes that all nodes have sent to each other. */
    long sentBytes() {
        return Arrays.stream(sentBytes).sum();
    }

    /** Returns the requests that a node in touch handled as only a version older than the one in force allows. */
    List<ConfigurationProbe> lateProbes() {
        return probes.stream()
                .filter(probe -> probe.isInTouch() && probe.isByVersionBefore(inForce(probe.nanoseconds())))
                .toList();
    }

    /** Returns the newest version that was in force at all machines in touch at a moment. */
    OperatorVersions.Version inForce(long nanoseconds) {
        return acknowledgements.stream()
                .filter(acknowledgement -> acknowledgement.isInForce(nanoseconds))
                .reduce((_, newer) -> newer)
                .orElseGet(acknowledgements::getFirst)
                .version();
    }

    /** Returns whether every version acknowledged by a moment was in force then. */
    boolean isSettled(long nanoseconds) {
        return acknowledgements.stream()
                .filter(acknowledgement -> acknowledgement.nanoseconds() <= nanoseconds)
                .skip(1)
                .allMatch(acknowledgement -> acknowledgement.isInForce(nanoseconds));
    }

    /** Returns a duration between half the given one and one and a half of it. */
    Duration jittered(Duration duration) {
        return duration.dividedBy(2).plusNanos(random.nextLong(duration.toNanos()));
    }

    private boolean isInTouch(ConfigurationHost host) {
        return disturbances == 0 && host.isUndisturbedSince(time.nanoseconds() - STABLE_WINDOW.toNanos());
    }

    // -- operator

    /** Writes a version, which the store acknowledges at once. */
    void write(long number, int addedRoutes) {
        OperatorVersions.Version version = operator.next(number, Math.ceilDiv(addedRoutes, shape.reduction()));
        routeCounts.put(number, version.routes().size());
        store.write(version);
        acknowledgements.add(new Acknowledgement(version, time.nanoseconds(), applyTime));
    }

    /** Writes a version again that the store has lost. */
    void rewrite(OperatorVersions.Version version) {
        store.write(version);
    }

    void recordAdoption(ConfigurationHost host, ConfigurationVersion version) {
        adoptions.add(new Adoption(host.number(), host.life(), version, time.nanoseconds()));
    }

    // -- nodes

    /** Starts all nodes within a second. */
    void startAll() {
        hosts.forEach(host -> time.at(Duration.ofNanos(random.nextLong(TimeUnit.SECONDS.toNanos(1))), host::startNode));
    }

    /** Stops a node as a SIGTERM does: it serves until its clients have left, and is started again later. */
    void restart(int number, Duration departure, Duration pause) {
        ConfigurationHost host = hosts.get(number);
        if (host.isNodeUp()) {
            host.beginStop();
            time.at(departure, host::endNode);
            time.at(departure.plus(pause), host::startNode);
        }
    }

    /** Ends a node as a kill does; it is started again later. */
    void kill(int number, Duration pause) {
        ConfigurationHost host = hosts.get(number);
        if (host.isNodeUp()) {
            host.endNode();
            time.at(pause, host::startNode);
        }
    }

    /** Ends a node without notice to any other, as a loss of power does; it is started again later. */
    void losePower(int number, Duration pause) {
        ConfigurationHost host = hosts.get(number);
        if (host.isNodeUp()) {
            host.losePower();
            time.at(pause, host::startNode);
        }
    }

    /** Disturbs something that all nodes need for some time. */
    void disturb(Duration delay, Duration duration, Runnable begin, Runnable end) {
        time.at(delay, () -> {
            disturbances++;
            begin.run();
        });
        time.at(delay.plus(duration), () -> {
            disturbances--;
            hosts.forEach(ConfigurationHost::disturb);
            end.run();
        });
    }

    // -- links

    /** Lets the link from the platform's region to the other one be busy for some time with what was sent before. */
    void fillNorthboundLink(Duration duration) {
        long bytes = Math.round(REGION_MEGABITS / shape.reduction() * 1_000_000 / 8 * duration.toNanos() / 1e9);
        northboundLink.carry(time.nanoseconds(), bytes);
    }

    /** Lets links lose some of the frames. */
    void setLosingFrames(boolean losing) {
        isLosingFrames = losing;
    }

    Duration delay(ConfigurationHost from, ConfigurationHost to) {
        return switch (from.settings().locality().distanceTo(to.settings().locality())) {
            case SAME_ZONE -> ZONE_DELAY;
            case SAME_REGION -> REGION_DELAY;
            case OTHER_REGION -> FAR_DELAY;
        };
    }

    /** Returns the delay between the store and a host. */
    Duration storeDelay(ConfigurationHost host) {
        return isInPlatformRegion(host) ? REGION_DELAY : FAR_DELAY;
    }

    /**
     * Carries a message to another host; the action runs when its last byte has arrived.
     *
     * @param isAwaited returns whether the connection is still open
     */
    void send(
            ConfigurationHost sender,
            ConfigurationHost receiver,
            long bytes,
            BooleanSupplier isAwaited,
            Runnable onArrival) {
        sentBytes[sender.number()] += bytes;
        if (isLosingFrames && random.nextInt(PERCENT) < LOST_FRAMES_PERCENT) {
            return;
        }
        boolean isFar =
                sender.settings().locality().distanceTo(receiver.settings().locality()) == Distance.OTHER_REGION;
        List<SimulatedTransfer.Hop> hops = new ArrayList<>();
        hops.add(new SimulatedTransfer.Hop(sender.uplink(), Duration.ZERO));
        if (isFar) {
            SimulatedLink link = isInPlatformRegion(sender) ? northboundLink : southboundLink;
            hops.add(new SimulatedTransfer.Hop(link, Duration.ZERO));
        }
        hops.add(new SimulatedTransfer.Hop(receiver.downlink(), delay(sender, receiver)));
        Optional<Integer> number = Optional.of(sender.number());
        transfer(number, receiver, hops, bytes, scaled(PART_BYTES), isAwaited, () -> {}, onArrival);
    }

    /** Carries an answer of the store to a host. */
    void sendFromStore(
            ConfigurationHost receiver,
            long bytes,
            BooleanSupplier isAwaited,
            Runnable onFirstPart,
            Runnable onArrival) {
        List<SimulatedTransfer.Hop> hops = new ArrayList<>();
        hops.add(new SimulatedTransfer.Hop(storeLink, Duration.ZERO));
        if (!isInPlatformRegion(receiver)) {
            hops.add(new SimulatedTransfer.Hop(northboundLink, Duration.ZERO));
        }
        hops.add(new SimulatedTransfer.Hop(receiver.downlink(), storeDelay(receiver)));
        long partBytes = store.isBuffered() ? bytes : scaled(PART_BYTES);
        transfer(Optional.empty(), receiver, hops, bytes, partBytes, isAwaited, onFirstPart, onArrival);
    }

    private void transfer(
            Optional<Integer> sender,
            ConfigurationHost receiver,
            List<SimulatedTransfer.Hop> hops,
            long bytes,
            long partBytes,
            BooleanSupplier isAwaited,
            Runnable onFirstPart,
            Runnable onArrival) {
        long sent = time.nanoseconds();
        SimulatedTransfer.Receiver recipient = new SimulatedTransfer.Receiver(isAwaited, onFirstPart, () -> {
            if (bytes > scaled(LARGE_MESSAGE_BYTES)) {
                transfers.add(new Transfer(sender, receiver.number(), bytes, sent, time.nanoseconds()));
            }
            onArrival.run();
        });
        new SimulatedTransfer(time, hops, bytes, partBytes, recipient).send();
    }

    private static boolean isInPlatformRegion(ConfigurationHost host) {
        return host.settings().region().equals(host.settings().platformRegion());
    }

    // -- requests

    /**
     * Sends requests to each node that runs: about one in the given time for a route of the first version, for one of the
     * newest in force, for the one that each version changes, and for none.
     */
    void probeRepeatedly(Duration interval) {
        hosts.forEach(host -> repeat(interval, () -> {
            probeRoutes(host);
            probe(host, Optional.empty());
        }));
    }

    /** Sends the same requests but those for no route, which make nodes ask whether their version is the newest. */
    void probeRoutesRepeatedly(Duration interval) {
        hosts.forEach(host -> repeat(interval, () -> probeRoutes(host)));
    }

    private void repeat(Duration interval, Runnable probe) {
        time.at(jittered(interval), () -> {
            probe.run();
            repeat(interval, probe);
        });
    }

    private void probeRoutes(ConfigurationHost host) {
        List<OperatorVersions.Route> routes = inForce(time.nanoseconds()).routes();
        List<OperatorVersions.Route> first =
                acknowledgements.getFirst().version().routes();
        long newest = routes.getLast().version();
        List<OperatorVersions.Route> added =
                routes.stream().filter(route -> route.version() == newest).toList();
        probe(host, Optional.of(first.get(random.nextInt(first.size()))));
        probe(host, Optional.of(added.get(random.nextInt(added.size()))));
        probe(host, Optional.of(routes.getFirst()));
    }

    private void probe(ConfigurationHost host, Optional<OperatorVersions.Route> route) {
        String attemptId = "p" + sentProbes++;
        List<HeaderField> headers = new ArrayList<>(FakeOperator.clientHeaders(attemptId, CLIENT_TIMEOUT.toMillis()));
        headers.removeIf(header -> header.name().equals("Host"));
        headers.add(
                HeaderField.of("Host", route.map(OperatorVersions.Route::host).orElse("absent.example")));
        String path = route.map(OperatorVersions.Route::prefix).orElse("/absent/");
        SimulatedRequest request = new SimulatedRequest("GET", path, headers, new byte[0]);
        boolean isInTouch = isInTouch(host);
        long sent = time.nanoseconds();
        host.node()
                .ifPresent(node -> time.start(Duration.ZERO, node.life(), () -> {
                    Decision.Answered answer = node.answer(attemptId, request);
                    probes.add(new ConfigurationProbe(host.number(), route, answer, isInTouch, sent));
                }));
    }
}
