package org.oleanderturn.node;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.AvailabilityZone;
import org.oleanderturn.model.DurationText;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Region;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.traffic.RequestLimitTerms;

/**
 * The settings of a node.
 *
 * <p>Invariant: instances read from a file have passed {@link SettingsSchema}. Immutable and thread safe.
 *
 * @param node the node's id
 * @param region the region of the node
 * @param availabilityZone the availability zone of the node
 * @param platformRegion the region of the platform's store
 * @param listen the addresses that the node listens on
 * @param platform the connection to the platform's store
 * @param target the target on this host
 * @param join control addresses of other nodes, through which the node joins the mesh
 * @param drainMilliseconds how long a graceful stop waits for requests in flight; 30 seconds when absent
 * @param warmupMilliseconds time limit of the warm-up at the start; 3 seconds when absent, 0 for no warm-up
 * @param mesh settings for the users' platform; absent for a deployment with the product's own interface
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
    private static final Duration DEFAULT_DRAIN_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration DEFAULT_WARMUP_TIMEOUT = Duration.ofSeconds(3);

    /** Returns the region and availability zone of the node. */
    public Locality locality() {
        return new Locality(region, availabilityZone);
    }

    /** Returns these settings with another target. */
    NodeSettings withTarget(Target other) {
        return new NodeSettings(
                node,
                region,
                availabilityZone,
                platformRegion,
                listen,
                platform,
                other,
                join,
                drainMilliseconds,
                warmupMilliseconds,
                mesh);
    }

    /** Returns how long a graceful stop waits for requests in flight. */
    public Duration drainTimeout() {
        return drainMilliseconds.map(Duration::ofMillis).orElse(DEFAULT_DRAIN_TIMEOUT);
    }

    /** Returns the time limit of the warm-up; zero for no warm-up. */
    public Duration warmupTimeout() {
        return warmupMilliseconds.map(Duration::ofMillis).orElse(DEFAULT_WARMUP_TIMEOUT);
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
     * The connection to the platform's store.
     *
     * @param address the store's HTTP address
     * @param callsPerSecond the maximum rate of this node's calls
     * @param timeoutMilliseconds the response timeout
     */
    public record Platform(Address address, int callsPerSecond, int timeoutMilliseconds) {}

    /**
     * Settings for the users' platform.
     *
     * @param targetCalls the address to which the local target sends its heartbeats
     * @param metrics the address that serves metrics and the state dump
     * @param heartbeat the interval of the target's heartbeats
     * @param stopTime the time between SIGTERM and the platform's SIGKILL
     * @param repeats the limit on retries
     * @param linkMegabitsPerSecond the rate of the host's link in each direction; unknown if absent
     * @param organisations how keys are checked by a node that is cut off; open if absent
     * @param requestLimits by how much requests may exceed the limits of organisations; the defaults of the record if absent
     * @param rollouts the limits on rollouts of a new version of the targets' software; orders are not read if absent
     * @param placement how the entry chooses targets; if absent, by the number of regions
     * @param regions the names of the deployment's regions, separated by commas; one may be named several times
     */
    public record Mesh(
            Address targetCalls,
            Address metrics,
            DurationText heartbeat,
            DurationText stopTime,
            RetryLimit repeats,
            Optional<Double> linkMegabitsPerSecond,
            Optional<Organisations> organisations,
            Optional<RequestLimits> requestLimits,
            Optional<Rollouts> rollouts,
            Optional<Placement> placement,
            Optional<String> regions) {
        /** With more than one other region, the overflow of one has to be divided, and may swing between the others. */
        private static final int REGIONS_FOR_EVEN_LOAD = 3;

        /** Returns how the entry chooses targets. */
        Placement chosenPlacement() {
            long count = regions.stream()
                    .flatMap(names -> Arrays.stream(names.split(",", -1)))
                    .distinct()
                    .count();
            return placement.orElse(count < REGIONS_FOR_EVEN_LOAD ? Placement.LEAST_LATENCY : Placement.EVEN_LOAD);
        }
    }

    /**
     * By how much the requests of an organisation that run on all nodes may exceed its limit in any window.
     *
     * @param window the length of the window
     * @param overage permitted share of the limit in addition, from 0 to 1
     * @param slack permitted requests in addition
     */
    public record RequestLimits(DurationText window, double overage, double slack) {

        /** Returns the tolerance of deployments that state none. */
        static RequestLimits defaults() {
            return new RequestLimits(DurationText.of("5s"), 0.1, 20);
        }

        RequestLimitTerms terms() {
            return new RequestLimitTerms(window.duration(), overage, slack);
        }
    }

    /**
     * The limits on rollouts of a new version of the targets' software.
     *
     * @param share the share of a service's requests that may reach a version which turns out to be bad, from 0 to 1
     * @param slack requests that may reach it in addition, over all nodes and the whole rollout
     * @param rollback how long after its 50th bad answer a bad version may still get requests
     */
    public record Rollouts(double share, double slack, DurationText rollback) {}

    /** How an entry chooses the target of a request. */
    public enum Placement {
        /** By the lowest expected latency. */
        LEAST_LATENCY,
        /** By the lowest estimated utilization. */
        EVEN_LOAD
    }

    /**
     * How the keys of organisations are checked.
     *
     * @param failClosed whether a node that could not confirm its configuration for the time of revocation refuses keys
     * @param revocation the time within which a removed key is refused
     */
    public record Organisations(boolean failClosed, DurationText revocation) {

        /** Returns whether a node that could not confirm its configuration refuses keys. */
        boolean isFailClosed() {
            return failClosed;
        }
    }

    /**
     * The limit on the retries of requests to a service.
     *
     * @param ratio permitted retries for each request in a window, from 0 to 1
     * @param floor permitted retries in a window in addition to the ratio, shared by all nodes
     * @param window the length of the window
     */
    public record RetryLimit(double ratio, double floor, DurationText window) {}

    /**
     * The target on this host.
     *
     * @param address the target's HTTP address
     * @param service the service that the target provides
     * @param healthPath the path that answers 200 when the target accepts requests
     * @param loadPath the path that answers with the load as the target measures it
     */
    public record Target(Address address, ServiceName service, String healthPath, String loadPath) {}
}
