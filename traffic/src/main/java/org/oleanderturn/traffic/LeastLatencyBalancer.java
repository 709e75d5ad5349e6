package org.oleanderturn.traffic;

import java.util.ArrayList;
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
 * Load balancer that chooses the target with the lowest expected latency of a few that it draws at random.
 *
 * <p>Reports are old by the time they are used, and many entries have the same ones. If each entry took the best target of
 * all, they would choose the same one until the next report.
 *
 * <p>The expected latency is that of the target's recent requests, increased with its load; more distant targets are
 * charged for the network latency and for what the users pay to transfer the bytes. All costs are in percent of the
 * target latency of a request. Thread safe if the random generator is.
 */
public final class LeastLatencyBalancer implements TargetPlacement {
    /** Latency assumed for a target without a report, in percent of the target latency; a typical value. */
    private static final double DEFAULT_SLOWNESS_PERCENT = 35;

    /** Network latency to another availability zone of the region, in percent of the target latency. */
    private static final double ZONE_LATENCY_PERCENT = 1;

    /** Network latency to another region, in percent of the target latency. */
    private static final double REGION_LATENCY_PERCENT = 3;

    /**
     * Charge for 1000 bytes sent to another availability zone of the region, in percent of the target latency. At the
     * users' prices, the bytes cost as much as the responses that this much latency makes late.
     */
    private static final double ZONE_PERCENT_PER_KILOBYTE = 1.5;

    /**
     * Charge for 1000 bytes sent to another region, whose links are narrow and expensive, in percent of the target
     * latency.
     */
    private static final double REGION_PERCENT_PER_KILOBYTE = 5;

    private static final double BYTES_PER_KILOBYTE = 1_000;

    /** Largest random increase of a cost, as a fraction of it. */
    private static final double JITTER_FRACTION = 0.15;

    /** Utilization of the slots above which requests are expected to slow each other down. */
    private static final double CONTENTION_THRESHOLD = 0.7;

    /** Increase of the latency when all slots are taken, as a fraction of it. */
    private static final double CONTENTION_COST = 0.6;

    /**
     * Increase of the latency in proportion to the utilization, as a fraction of it, so that equal targets fill
     * evenly.
     */
    private static final double UTILIZATION_COST = 0.1;

    /** How many targets of the nearest distance are compared; entries with the same old reports then choose different ones. */
    private static final int NEAREST_CANDIDATES = 2;

    /** How many targets of each further distance are compared. */
    private static final int DISTANT_CANDIDATES = 1;

    /** Added for a target that is avoided or accepts no requests; higher than any cost by load. */
    private static final double AVOIDED_COST = 10_000;

    /** An endpoint and its cost. */
    private record Choice(Endpoint endpoint, double cost) {
        boolean isAvoided() {
            return cost >= AVOIDED_COST;
        }
    }

    private final TargetLoadTracker loads;
    private final Locality locality;
    private final LongSupplier nanoseconds;
    private final RandomGenerator random;

    private LeastLatencyBalancer(
            TargetLoadTracker loads, Locality locality, LongSupplier nanoseconds, RandomGenerator random) {
        this.loads = loads;
        this.locality = locality;
        this.nanoseconds = nanoseconds;
        this.random = random;
    }

    /** Returns the balancer of an entry at the given locality; the clock is in nanoseconds. */
    public static LeastLatencyBalancer of(
            TargetLoadTracker loads, Locality locality, LongSupplier nanoseconds, RandomGenerator random) {
        Objects.requireNonNull(loads, "loads is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(random, "random is null");
        return new LeastLatencyBalancer(loads, locality, nanoseconds, random);
    }

    /**
     * Returns the endpoint with the lowest expected latency among some that are drawn at random, or among all if none of
     * the drawn ones accepts requests; empty if all are excluded.
     *
     * @param bytes expected bytes of the request and its response
     */
    @Override
    public Optional<Endpoint> choose(List<Endpoint> endpoints, Set<NodeId> excluded, double bytes) {
        List<Endpoint> candidates = endpoints.stream()
                .filter(endpoint -> !excluded.contains(endpoint.node()))
                .toList();
        Optional<Choice> drawn = cheapest(draw(candidates), bytes);
        if (drawn.filter(Choice::isAvoided).isPresent()) {
            return cheapest(candidates, bytes).map(Choice::endpoint);
        }
        return drawn.map(Choice::endpoint);
    }

    /** Draws candidates of each distance, more of the nearest, so that requests stay near while there is room. */
    private List<Endpoint> draw(List<Endpoint> candidates) {
        List<Endpoint> drawn = new ArrayList<>();
        int count = NEAREST_CANDIDATES;
        for (Locality.Distance distance : Locality.Distance.values()) {
            List<Endpoint> level = candidates.stream()
                    .filter(endpoint -> locality.distanceTo(endpoint.locality()) == distance)
                    .toList();
            if (!level.isEmpty()) {
                drawInto(drawn, level, count);
                count = DISTANT_CANDIDATES;
            }
        }
        return drawn;
    }

    /** Adds distinct endpoints of a level: a random one and those that follow a random step apart. */
    private void drawInto(List<Endpoint> drawn, List<Endpoint> level, int count) {
        int first = random.nextInt(level.size());
        drawn.add(level.get(first));
        if (count > 1 && level.size() > 1) {
            drawn.add(level.get((first + 1 + random.nextInt(level.size() - 1)) % level.size()));
        }
    }

    private Optional<Choice> cheapest(List<Endpoint> candidates, double bytes) {
        Optional<Choice> best = Optional.empty();
        for (Endpoint endpoint : candidates) {
            double cost = cost(endpoint, bytes) * (1 + JITTER_FRACTION * random.nextDouble());
            if (best.isEmpty() || cost < best.get().cost()) {
                best = Optional.of(new Choice(endpoint, cost));
            }
        }
        return best;
    }

    private double cost(Endpoint endpoint, double bytes) {
        TargetLoadTracker.TargetLoad target = loads.load(endpoint.node());
        boolean isAvoided = target.avoidedUntilNanoseconds() - nanoseconds.getAsLong() > 0;
        return expectedLatency(target) + distanceCost(endpoint, bytes) + (isAvoided ? AVOIDED_COST : 0);
    }

    private static double expectedLatency(TargetLoadTracker.TargetLoad target) {
        if (target.report().isEmpty()) {
            return DEFAULT_SLOWNESS_PERCENT * (1 + target.outstanding());
        }
        LoadReport report = target.report().get();
        if (report.slots() == 0) {
            return AVOIDED_COST;
        }
        double latency = report.slownessPercent() == 0 ? DEFAULT_SLOWNESS_PERCENT : report.slownessPercent();
        int reported = report.running() + report.waiting() + target.sentSinceReport();
        double load = Math.max(reported, target.outstanding());
        double utilization = load / report.slots();
        double queueing = Math.max(0, load + 1 - report.slots()) / report.slots();
        double contention = CONTENTION_COST
                * Math.max(0, Math.min(utilization, 1) - CONTENTION_THRESHOLD)
                / (1 - CONTENTION_THRESHOLD);
        return latency * (1 + queueing + contention + UTILIZATION_COST * utilization);
    }

    private double distanceCost(Endpoint endpoint, double bytes) {
        if (endpoint.locality().equals(locality)) {
            return 0;
        }
        double kilobytes = bytes / BYTES_PER_KILOBYTE;
        return endpoint.locality().region().equals(locality.region())
                ? ZONE_LATENCY_PERCENT + ZONE_PERCENT_PER_KILOBYTE * kilobytes
                : REGION_LATENCY_PERCENT + REGION_PERCENT_PER_KILOBYTE * kilobytes;
    }
}
