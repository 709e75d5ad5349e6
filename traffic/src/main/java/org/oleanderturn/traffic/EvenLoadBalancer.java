package org.oleanderturn.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Region;

/**
 * Load balancer that keeps the utilization of the targets of a region even, by estimates of their load now.
 *
 * <p>A report tells less the older it is: its requests end, and other entries send new ones. The estimate therefore moves
 * from the reported load to the mean utilization of the region with the age of the report (Dahlin, "Interpreting Stale
 * Load Information"; Mitzenmacher, "How Useful Is Old Information?"), so that a target with an old report is neither
 * preferred nor avoided for it. It does so faster from below the mean while the region has few free slots, as all entries
 * send there. The mean counts old reports for little, so that another region, of which reports are rare, is tried again some
 * seconds after it was full. Measured run times only weigh how often a target is drawn for comparison; as a cost they would
 * let the chance of a few runs decide, since a target that is rarely chosen keeps an old average.
 *
 * <p>Requests leave the region only in the share by which its mean utilization exceeds a limit, or after two targets have
 * refused them; a share that follows the mean does not swing as an order of preference does. They spread over the free
 * slots of other regions in proportion, so that entries with the same reports do not all choose the same target; a
 * target keeps a part of its slots for requests of its own region. A request that was refused takes the least utilized
 * target of the region, as there are few of them. Thread safe if the random generator is.
 */
public final class EvenLoadBalancer implements TargetPlacement {
    /** Time in which a report loses most of its meaning; a run of the users' services takes 30 to 490 ms. */
    private static final double REPORT_LIFE_NANOSECONDS = 250e6;

    /** Time in which a report loses most of its weight in the mean of its region, whose load changes within seconds. */
    private static final double MEAN_LIFE_NANOSECONDS = 1e9;

    /** Weight of the default utilization in a mean, in targets; reports of a whole region outweigh it for some seconds. */
    private static final double DEFAULT_WEIGHT = 0.1;

    /** Mean run of the targets as a part of the life of a report: 100 ms of 250 ms. */
    private static final double RUN_PER_REPORT_LIFE = 0.4;

    /** Least part of its life for which a report of a free slot counts: 5 ms, as requests are that long on their way. */
    private static final double SHORTEST_LIFE_SHARE = 0.02;

    /** Utilization that a target of another zone must be below one of this zone, as its bytes are charged for. */
    private static final double ZONE_MARGIN = 0.2;

    /** Increase of the margin for each 1000 bytes, so that large responses stay in their zone while it has room. */
    private static final double ZONE_MARGIN_PER_KILOBYTE = 0.01;

    /** How many targets of each distance within the region are compared first. */
    private static final int CANDIDATES = 2;

    /** How many targets of a region without a free slot are compared. */
    private static final int QUEUE_CANDIDATES = 4;

    /** Share of the slots of a target that requests of other regions may fill; the rest is for those of its region. */
    private static final double SHARE_FOR_OTHER_REGIONS = 0.85;

    /** Utilization of the region, waiting requests included, above which requests of few bytes leave it. */
    private static final double HIGHEST_UTILIZATION = 0.85;

    /** Increase of that utilization for each 1000 bytes, as the link between regions is narrow and charged by volume. */
    private static final double UTILIZATION_PER_KILOBYTE = 0.02;

    /** After this many failed attempts a request is worth its transfer to another region; a client waits for it. */
    private static final int REFUSALS_BEFORE_LEAVING = 2;

    /** Larger responses stay in the region even then; they would hold the link for many small ones. */
    private static final double HIGHEST_KILOBYTES_AFTER_REFUSALS = 20;

    /** Bounds the slowness of a target in proportion to its region; the users' targets differ by a factor of 3. */
    private static final double HIGHEST_SLOWNESS = 2;

    /** Utilization assumed for the targets while no report is known. */
    private static final double DEFAULT_UTILIZATION = 0.5;

    /** Slots assumed for the targets of the region while no report is known. */
    private static final double DEFAULT_SLOTS = 4;

    private static final double BYTES_PER_KILOBYTE = 1_000;

    private final TargetLoadTracker loads;
    private final Locality locality;
    private final LongSupplier nanoseconds;
    private final RandomGenerator random;
    private final double reportLifeNanoseconds;

    private EvenLoadBalancer(
            TargetLoadTracker loads,
            Locality locality,
            LongSupplier nanoseconds,
            RandomGenerator random,
            double reportLifeNanoseconds) {
        this.loads = loads;
        this.locality = locality;
        this.nanoseconds = nanoseconds;
        this.random = random;
        this.reportLifeNanoseconds = reportLifeNanoseconds;
    }

    /** Returns the balancer of an entry at the given locality; the clock is in nanoseconds. */
    public static EvenLoadBalancer of(
            TargetLoadTracker loads, Locality locality, LongSupplier nanoseconds, RandomGenerator random) {
        return of(loads, locality, nanoseconds, random, REPORT_LIFE_NANOSECONDS);
    }

    /** Returns a balancer that trusts reports for another time; for comparisons. */
    static EvenLoadBalancer of(
            TargetLoadTracker loads,
            Locality locality,
            LongSupplier nanoseconds,
            RandomGenerator random,
            double reportLifeNanoseconds) {
        Objects.requireNonNull(loads, "loads is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(random, "random is null");
        return new EvenLoadBalancer(loads, locality, nanoseconds, random, reportLifeNanoseconds);
    }

    /** An endpoint with what is known of it and its distance. */
    private record Known(Endpoint endpoint, TargetLoadTracker.TargetLoad load, Locality.Distance distance) {
        boolean isRemote() {
            return distance == Locality.Distance.OTHER_REGION;
        }

        Region region() {
            return endpoint.locality().region();
        }

        /** Returns how long ago the newest report was measured, in nanoseconds. */
        double age(long now) {
            return Math.max(0, now - load.measuredNanoseconds());
        }
    }

    /**
     * An endpoint with the estimate of its load now, in requests, its slots, and how long it takes in proportion to the
     * targets of its region.
     */
    private record Candidate(
            Endpoint endpoint, Locality.Distance distance, double load, double slots, double slowness) {
        double free() {
            return slots - load;
        }

        /** Returns whether one more request would get a slot. */
        boolean hasRoom() {
            return free() >= 1;
        }

        /** Returns the room for requests of other regions. */
        double freeForOtherRegions() {
            return slots * SHARE_FOR_OTHER_REGIONS - load;
        }

        double utilizationWithOneMore() {
            return (load + 1) / slots;
        }

        /** Returns the requests that the target can run in a time, in proportion. */
        double rate() {
            return slots / slowness;
        }
    }

    /**
     * Means of the targets of a region, as far as reported.
     *
     * @param utilization requests that run or wait, as a part of the slots; new reports count more than old ones
     * @param free free slots as a part of the slots, weighted likewise
     * @param slots slots of a target
     * @param slownessPercent slowness of a target; 0 if unknown
     */
    private record Means(double utilization, double free, double slots, double slownessPercent) {
        /**
         * Returns the share of the life of a report for which it tells of a free slot. While the region has few, all entries
         * send to the targets that report them: within a run, as many requests arrive as run now, and they fill the free slots.
         */
        double lifeShareOfFreeSlots() {
            return Math.clamp(RUN_PER_REPORT_LIFE * free / utilization, SHORTEST_LIFE_SHARE, 1);
        }

        /** Returns the slowness of a target in proportion, within bounds, as it is an average of few runs. */
        double slownessOf(LoadReport report) {
            return slownessPercent == 0 || report.slownessPercent() == 0
                    ? 1
                    : Math.clamp(report.slownessPercent() / slownessPercent, 1 / HIGHEST_SLOWNESS, HIGHEST_SLOWNESS);
        }

        static Means of(List<Known> targets, double usualSlots, long now) {
            double used = 0;
            double free = 0;
            double weightedSlots = 0;
            double slots = 0;
            double slowness = 0;
            int count = 0;
            for (Known target : targets) {
                Optional<LoadReport> report = target.load().measured();
                if (report.isPresent() && report.get().slots() > 0) {
                    double weight = Math.exp(-target.age(now) / MEAN_LIFE_NANOSECONDS);
                    used += weight * (report.get().running() + report.get().waiting());
                    free += weight
                            * Math.max(0, report.get().slots() - report.get().running());
                    weightedSlots += weight * report.get().slots();
                    slots += report.get().slots();
                    slowness += report.get().slownessPercent();
                    count++;
                }
            }
            if (count == 0) {
                return new Means(DEFAULT_UTILIZATION, 1 - DEFAULT_UTILIZATION, usualSlots, 0);
            }
            double assumed = DEFAULT_WEIGHT * slots / count;
            double utilization = (used + assumed * DEFAULT_UTILIZATION) / (weightedSlots + assumed);
            double freeShare = (free + assumed * (1 - DEFAULT_UTILIZATION)) / (weightedSlots + assumed);
            return new Means(utilization, freeShare, slots / count, slowness / count);
        }
    }

    // -- choice

    @Override
    public Optional<Endpoint> choose(List<Endpoint> endpoints, Set<NodeId> excluded, double bytes) {
        long now = nanoseconds.getAsLong();
        List<Known> accepting = new ArrayList<>(endpoints.size());
        List<Endpoint> avoided = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            if (excluded.contains(endpoint.node())) {
                continue;
            }
            TargetLoadTracker.TargetLoad load = loads.load(endpoint.node());
            if (isAvoided(load, now)) {
                avoided.add(endpoint);
            } else {
                accepting.add(new Known(endpoint, load, locality.distanceTo(endpoint.locality())));
            }
        }
        if (accepting.isEmpty()) {
            return nearestOf(avoided);
        }
        List<Known> near = accepting.stream().filter(known -> !known.isRemote()).toList();
        Means means = Means.of(near, DEFAULT_SLOTS, now);
        double kilobytes = bytes / BYTES_PER_KILOBYTE;
        List<Candidate> candidates = estimates(near, means, now);
        boolean isRegionFull =
                excluded.size() >= REFUSALS_BEFORE_LEAVING && kilobytes <= HIGHEST_KILOBYTES_AFTER_REFUSALS;
        Optional<Candidate> chosen = isRegionFull || random.nextDouble() < overflowShare(means.utilization(), kilobytes)
                ? elsewhere(remote(accepting, means, now))
                : Optional.empty();
        if (!excluded.isEmpty()) {
            chosen = chosen.or(
                    () -> candidates.stream().min(Comparator.comparingDouble(Candidate::utilizationWithOneMore)));
        }
        return chosen.or(() -> leastUtilized(candidates, kilobytes).filter(Candidate::hasRoom))
                .or(() -> drawnByWeight(
                        candidates.stream().filter(Candidate::hasRoom).toList(), Candidate::free))
                .or(() -> shortestQueue(candidates))
                .or(() -> shortestQueue(remote(accepting, means, now)))
                .map(Candidate::endpoint);
    }

    /** Returns the share of requests that leaves the region, so that the rest keeps it at its highest utilization. */
    private static double overflowShare(double utilization, double kilobytes) {
        double highest = HIGHEST_UTILIZATION + UTILIZATION_PER_KILOBYTE * kilobytes;
        return Math.max(0, 1 - highest / utilization);
    }

    /** Returns a target of another region with a free slot, in proportion to the free slots. */
    private Optional<Candidate> elsewhere(List<Candidate> remote) {
        List<Candidate> free = remote.stream()
                .filter(candidate -> candidate.freeForOtherRegions() >= 1)
                .toList();
        return drawnByWeight(free, Candidate::freeForOtherRegions);
    }

    /** Returns the estimates for the targets of other regions, each region by its own mean. */
    private List<Candidate> remote(List<Known> accepting, Means near, long now) {
        Map<Region, List<Known>> byRegion = accepting.stream()
                .filter(Known::isRemote)
                .collect(Collectors.groupingBy(Known::region, LinkedHashMap::new, Collectors.toList()));
        return byRegion.values().stream()
                .flatMap(targets -> estimates(targets, Means.of(targets, near.slots(), now), now).stream())
                .toList();
    }

    private static boolean isAvoided(TargetLoadTracker.TargetLoad load, long now) {
        boolean isClosed = load.measured().filter(report -> report.slots() == 0).isPresent();
        return isClosed || load.avoidedUntilNanoseconds() - now > 0;
    }

    /** Returns a random one of the nearest. */
    private Optional<Endpoint> nearestOf(List<Endpoint> endpoints) {
        for (Locality.Distance distance : Locality.Distance.values()) {
            List<Endpoint> level = endpoints.stream()
                    .filter(endpoint -> locality.distanceTo(endpoint.locality()) == distance)
                    .toList();
            if (!level.isEmpty()) {
                return Optional.of(level.get(random.nextInt(level.size())));
            }
        }
        return Optional.empty();
    }

    /** Returns the least utilized of a few that are drawn of the zone and of the rest of the region. */
    private Optional<Candidate> leastUtilized(List<Candidate> near, double kilobytes) {
        Optional<Candidate> best = Optional.empty();
        double lowest = Double.POSITIVE_INFINITY;
        for (Locality.Distance distance : List.of(Locality.Distance.SAME_ZONE, Locality.Distance.SAME_REGION)) {
            double margin =
                    distance == Locality.Distance.SAME_ZONE ? 0 : ZONE_MARGIN + ZONE_MARGIN_PER_KILOBYTE * kilobytes;
            for (Candidate candidate : draw(near, distance)) {
                double cost = candidate.utilizationWithOneMore() + margin;
                if (cost < lowest) {
                    lowest = cost;
                    best = Optional.of(candidate);
                }
            }
        }
        return best;
    }

    private List<Candidate> draw(List<Candidate> near, Locality.Distance distance) {
        List<Candidate> level = near.stream()
                .filter(candidate -> candidate.distance() == distance)
                .toList();
        if (level.size() <= CANDIDATES) {
            return level;
        }
        return IntStream.range(0, CANDIDATES)
                .mapToObj(_ -> drawnByWeight(level, Candidate::rate))
                .flatMap(Optional::stream)
                .toList();
    }

    /** Returns the target with the shorter queue of a few that are drawn, so that entries do not choose the same one. */
    private Optional<Candidate> shortestQueue(List<Candidate> candidates) {
        Optional<Candidate> best = Optional.empty();
        for (int draw = 0; draw < QUEUE_CANDIDATES && !candidates.isEmpty(); draw++) {
            Candidate drawn = drawnByWeight(candidates, Candidate::rate).orElseThrow();
            if (best.isEmpty() || drawn.utilizationWithOneMore() < best.get().utilizationWithOneMore()) {
                best = Optional.of(drawn);
            }
        }
        return best;
    }

    private Optional<Candidate> drawnByWeight(List<Candidate> candidates, ToDoubleFunction<Candidate> weight) {
        double rest =
                random.nextDouble() * candidates.stream().mapToDouble(weight).sum();
        for (Candidate candidate : candidates) {
            rest -= weight.applyAsDouble(candidate);
            if (rest <= 0) {
                return Optional.of(candidate);
            }
        }
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.getLast());
    }

    // -- estimates

    private List<Candidate> estimates(List<Known> targets, Means means, long now) {
        return targets.stream().map(known -> estimate(known, means, now)).toList();
    }

    private Candidate estimate(Known known, Means means, long now) {
        TargetLoadTracker.TargetLoad target = known.load();
        if (target.measured().isEmpty()) {
            double load = means.utilization() * means.slots() + target.outstanding();
            return new Candidate(known.endpoint(), known.distance(), load, means.slots(), 1);
        }
        LoadReport report = target.measured().get();
        double usual = means.utilization() * report.slots();
        double reported = report.running() + report.waiting();
        double life = reportLifeNanoseconds * (reported < usual ? means.lifeShareOfFreeSlots() : 1);
        double remaining = usual + (reported - usual) * Math.exp(-known.age(now) / life);
        double load = Math.max(remaining + target.sentUncounted(), target.outstanding());
        return new Candidate(known.endpoint(), known.distance(), load, report.slots(), means.slownessOf(report));
    }
}
