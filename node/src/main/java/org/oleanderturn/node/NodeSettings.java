package org.oleanderturn.node;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.AvailabilityZone;
import org.oleanderturn.model.DurationText;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Region;
import org.oleanderturn.model.ServiceName;

/**
 * The settings of a node.
 *
 * <p>Invariant: made only of a file that {@link SettingsSchema} found without faults. Immutable and thread safe.
 *
 * @param node the node's id
 * @param region the region it stands in
 * @param availabilityZone the availability zone it stands in
 * @param platformRegion the region of the platform's store
 * @param listen the addresses that the node listens on
 * @param platform how the platform's store is reached
 * @param target the target on this host
 * @param join control addresses of other nodes
 * @param drainMilliseconds the longest that a graceful stop waits for requests in flight
 * @param warmupMilliseconds the longest that a start spends on compiling the path of a request; 0 for no warm-up
 * @param mesh how the node serves on the users' platform; absent for a deployment with the product's own interface
 */
public record NodeSettings(
        NodeId node,
        Region region,
        AvailabilityZone availabilityZone,
        Region platformRegion,
        Listen listen,
        Platform platform,
        Target target,
        List<Address> join,
        Optional<Integer> drainMilliseconds,
        Optional<Integer> warmupMilliseconds,
        Optional<Mesh> mesh) {
    private static final Duration STANDARD_DRAIN = Duration.ofSeconds(30);
    private static final Duration STANDARD_WARMUP = Duration.ofSeconds(3);

    /** Returns where the node stands. */
    public Locality locality() {
        return new Locality(region, availabilityZone);
    }

    /** Returns the longest that a graceful stop waits for requests in flight. */
    public Duration drainTime() {
        return drainMilliseconds.map(Duration::ofMillis).orElse(STANDARD_DRAIN);
    }

    /** Returns the longest that a start spends on compiling the path of a request. */
    public Duration warmupTime() {
        return warmupMilliseconds.map(Duration::ofMillis).orElse(STANDARD_WARMUP);
    }

    /**
     * The addresses that a node listens on.
     *
     * @param caller for callers
     * @param peer for other nodes' requests to the local target
     * @param control for other nodes' control messages
     * @param operator for operators
     */
    public record Listen(Address caller, Address peer, Address control, Address operator) {}

    /**
     * How the platform's store is reached.
     *
     * @param address its HTTP address
     * @param callsPerSecond the most calls that this node makes in a second
     * @param timeoutMilliseconds the longest wait for an answer
     */
    public record Platform(Address address, int callsPerSecond, int timeoutMilliseconds) {}

    /**
     * How the node serves on the users' platform.
     *
     * @param targetCalls where the local target sends its heartbeats
     * @param metrics where metrics and the state dump are served
     * @param heartbeat how often the target sends one
     * @param stopTime how long after SIGTERM the platform kills the process
     * @param repeats the bound on requests that are sent again
     */
    public record Mesh(
            Address targetCalls, Address metrics, DurationText heartbeat, DurationText stopTime, Repeats repeats) {}

    /**
     * The bound on requests that are sent to a service again, over all nodes.
     *
     * @param ratio repeats for each request in a window
     * @param floor repeats in a window beside the ratio, for all nodes together
     * @param window the window's length
     */
    public record Repeats(double ratio, double floor, DurationText window) {}

    /**
     * The target on this host.
     *
     * @param address its HTTP address
     * @param service the service that it answers for
     * @param healthPath answers 200 when the target takes work
     * @param loadPath answers with the target's own idea of its load
     */
    public record Target(Address address, ServiceName service, String healthPath, String loadPath) {}
}
