package org.oleanderturn.traffic;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

/**
 * Chooses the target that is expected to answer first.
 *
 * <p>It answers uneven load and uneven targets: the expected time is that of the target's recent requests, stretched by
 * how full it is; the distance adds what the users pay for the bytes that cross it. A little randomness keeps entries
 * with the same reports from choosing the same target. Thread safe.
 */
public final class LeastLatencyBalancer {
    /** Expected time of a target that has not reported, in percent of the target latency; the usual share. */
    private static final double DEFAULT_SLOWNESS_PERCENT = 35;

    /** Added for another zone of the region, in percent of the target latency: the time of the trip. */
    private static final double ZONE_LATENCY_PERCENT = 1;

    /** Added for another region, in percent of the target latency: the time of the trip. */
    private static final double REGION_LATENCY_PERCENT = 3;

    /**
     * Added for each thousand bytes that go to another zone of the region, in percent of the target latency: at the
     * users' prices, a byte costs them as much as the answers that this wait makes late.
     */
    private static final double ZONE_PERCENT_PER_KILOBYTE = 1.5;

    /** The same for another region, whose links are narrow and dear. */
    private static final double REGION_PERCENT_PER_KILOBYTE = 5;

    private static final double BYTES_PER_KILOBYTE = 1_000;

    /** The share by which an expected time is varied at random. */
    private static final double JITTER_FRACTION = 0.15;

    /** The share of a target's slots beyond which work is expected to take longer. */
    private static final double CONTENTION_THRESHOLD = 0.7;

    /** Added to the expected time of a target whose slots are all taken, as a share of it. */
    private static final double CONTENTION_COST = 0.6;

    /** Added for the share of slots that are taken, so that equal targets fill evenly. */
    private static final double UTILIZATION_COST = 0.1;

    /** Added for each target that should be avoided; more than any load costs. */
    private static final double AVOIDED_COST = 10_000;

    private final TargetLoadTracker loads;
    private final Locality locality;
    private final LongSupplier nanoseconds;
    private final RandomGenerator random;

    private LeastLatencyBalancer(
            TargetLoadTracker board, Locality locality, LongSupplier nanoseconds, RandomGenerator random) {
        this.loads = board;
        this.locality = locality;
        this.nanoseconds = nanoseconds;
        this.random = random;
    }

    /** Returns the placement of an entry that stands at the given locality. */
    public static LeastLatencyBalancer of(
            TargetLoadTracker board, Locality locality, LongSupplier nanoseconds, RandomGenerator random) {
        Objects.requireNonNull(board, "board is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(random, "random is null");
        return new LeastLatencyBalancer(board, locality, nanoseconds, random);
    }

    /**
     * Returns the endpoint that is expected to answer first; empty when each is excluded.
     *
     * @param bytes what the request and its answer are expected to take
     */
    public Optional<Endpoint> choose(List<Endpoint> endpoints, Set<NodeId> excluded, double bytes) {
        Optional<Endpoint> best = Optional.empty();
        double lowest = Double.MAX_VALUE;
        for (Endpoint endpoint : endpoints) {
            if (excluded.contains(endpoint.node())) {
                continue;
            }
            double cost = cost(endpoint, bytes) * (1 + JITTER_FRACTION * random.nextDouble());
            if (cost < lowest) {
                lowest = cost;
                best = Optional.of(endpoint);
            }
        }
        return best;
    }

    private double cost(Endpoint endpoint, double bytes) {
        TargetLoadTracker.TargetLoad standing = loads.load(endpoint.node());
        boolean isAvoided = standing.avoidedUntilNanoseconds() - nanoseconds.getAsLong() > 0;
        return expectedLatency(standing) + distanceCost(endpoint, bytes) + (isAvoided ? AVOIDED_COST : 0);
    }

    private static double expectedLatency(TargetLoadTracker.TargetLoad standing) {
        if (standing.report().isEmpty()) {
            return DEFAULT_SLOWNESS_PERCENT * (1 + standing.outstanding());
        }
        LoadReport report = standing.report().get();
        if (report.slots() == 0) {
            return AVOIDED_COST;
        }
        double slowness = report.slownessPercent() == 0 ? DEFAULT_SLOWNESS_PERCENT : report.slownessPercent();
        double load = report.running() + report.waiting() + standing.sentSinceReport();
        double share = load / report.slots();
        double queue = Math.max(0, load + 1 - report.slots()) / report.slots();
        double crowd =
                CONTENTION_COST * Math.max(0, Math.min(share, 1) - CONTENTION_THRESHOLD) / (1 - CONTENTION_THRESHOLD);
        return slowness * (1 + queue + crowd + UTILIZATION_COST * share);
    }

    private double distanceCost(Endpoint endpoint, double bytes) {
        if (endpoint.locality().equals(locality)) {
            return 0;
        }
        double thousands = bytes / BYTES_PER_KILOBYTE;
        return endpoint.locality().region().equals(locality.region())
                ? ZONE_LATENCY_PERCENT + ZONE_PERCENT_PER_KILOBYTE * thousands
                : REGION_LATENCY_PERCENT + REGION_PERCENT_PER_KILOBYTE * thousands;
    }
}
