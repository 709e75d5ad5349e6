package org.oleanderturn.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

/**
 * Load balancer that keeps the utilization of the targets of a region even, by estimates of their load now.
 *
 * <p>A report tells less the older it is: its requests end, and other entries send new ones. The estimate therefore moves
 * from the reported load to the mean utilization of the region with the age of the report (Dahlin, "Interpreting Stale
 * Load Information"; Mitzenmacher, "How Useful Is Old Information?"), so that a target with an old report is neither
 * preferred nor avoided for it. Measured run times are not compared: a slow target holds its slots longer and receives
 * fewer requests for that reason alone.
 *
 * <p>While a target of the region is estimated to have a free slot, no request leaves the region. Requests that find the
 * region full spread over the free slots of other regions in proportion, so that entries with the same reports do not
 * all choose the same target; a target keeps a part of its slots for requests of its own region. Thread safe if the
 * random generator is.
 */
public final class EvenLoadBalancer implements TargetPlacement {
    /** Time in which a report loses most of its meaning; a run of the users' services takes 30 to 490 ms. */
    private static final double REPORT_LIFE_NANOSECONDS = 250e6;

    /** Utilization that a target of another zone must be below one of this zone, as its bytes are charged for. */
    private static final double ZONE_MARGIN = 0.2;

    /** Increase of the margin for each 1000 bytes, so that large responses stay in their zone while it has room. */
    private static final double ZONE_MARGIN_PER_KILOBYTE = 0.01;

    /** How many targets of each distance within the region are compared first. */
    private static final int CANDIDATES = 2;

    /** Share of the slots of a target that requests of other regions may fill; the rest is for those of its region. */
    private static final double SHARE_FOR_OTHER_REGIONS = 0.85;

    /** Time in the queue of a full target, in slots waited for, that justifies another region for few bytes. */
    private static final double REGION_WAIT = 0.1;

    /** Increase of that time for each 1000 bytes, as the link between regions is narrow and charged by volume. */
    private static final double REGION_WAIT_PER_KILOBYTE = 0.15;

    /** Utilization assumed for the targets while no report is known. */
    private static final double DEFAULT_UTILIZATION = 0.5;

    private static final double BYTES_PER_KILOBYTE = 1_000;

    private final TargetLoadTracker loads;
    private final Locality locality;
    private final LongSupplier nanoseconds;
    private final RandomGenerator random;

    private EvenLoadBalancer(
            TargetLoadTracker loads, Locality locality, LongSupplier nanoseconds, RandomGenerator random) {
        this.loads = loads;
        this.locality = locality;
        this.nanoseconds = nanoseconds;
        this.random = random;
    }

    /** Returns the balancer of an entry at the given locality; the clock is in nanoseconds. */
    public static EvenLoadBalancer of(
            TargetLoadTracker loads, Locality locality, LongSupplier nanoseconds, RandomGenerator random) {
        Objects.requireNonNull(loads, "loads is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(random, "random is null");
        return new EvenLoadBalancer(loads, locality, nanoseconds, random);
    }

    /** An endpoint with what is known of it and its distance. */
    private record Known(Endpoint endpoint, TargetLoadTracker.TargetLoad load, Locality.Distance distance) {
        boolean isRemote() {
            return distance == Locality.Distance.OTHER_REGION;
        }
    }

    /** An endpoint with the estimate of its load now, in requests, and its slots. */
    private record Candidate(Endpoint endpoint, Locality.Distance distance, double load, double slots) {
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
    }

    /** Mean utilization and slots of the targets of a region, as far as reported. */
    private record Means(double utilization, double slots) {
        static Means of(List<Known> targets) {
            double used = 0;
            double slots = 0;
            int count = 0;
            for (Known target : targets) {
                Optional<LoadReport> report = target.load().measured();
                if (report.isPresent() && report.get().slots() > 0) {
                    used += report.get().running() + report.get().waiting();
                    slots += report.get().slots();
                    count++;
                }
            }
            return count == 0 ? new Means(DEFAULT_UTILIZATION, 1) : new Means(used / slots, slots / count);
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
        List<Candidate> near = candidates(accepting, false, now);
        double kilobytes = bytes / BYTES_PER_KILOBYTE;
        Optional<Candidate> chosen = leastUtilized(near, kilobytes).filter(Candidate::hasRoom);
        if (chosen.isEmpty()) {
            chosen = drawnByWeight(near.stream().filter(Candidate::hasRoom).toList(), Candidate::free);
        }
        return chosen.or(() -> overflow(near, candidates(accepting, true, now), kilobytes))
                .map(Candidate::endpoint);
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
        int first = random.nextInt(level.size());
        int second = (first + 1 + random.nextInt(level.size() - 1)) % level.size();
        return List.of(level.get(first), level.get(second));
    }

    /** Chooses when the region is full: the shortest queue in it, or a free slot elsewhere where that costs less. */
    private Optional<Candidate> overflow(List<Candidate> near, List<Candidate> remote, double kilobytes) {
        Optional<Candidate> queue = shortestQueue(near);
        double wait =
                queue.map(candidate -> -candidate.free() / candidate.slots()).orElse(Double.POSITIVE_INFINITY);
        if (wait > REGION_WAIT + REGION_WAIT_PER_KILOBYTE * kilobytes) {
            List<Candidate> free = remote.stream()
                    .filter(candidate -> candidate.freeForOtherRegions() >= 1)
                    .toList();
            Optional<Candidate> elsewhere = drawnByWeight(free, Candidate::freeForOtherRegions);
            if (elsewhere.isPresent()) {
                return elsewhere;
            }
        }
        return queue.or(() -> shortestQueue(remote));
    }

    /** Returns the target with the shorter queue of a few that are drawn, so that entries do not choose the same one. */
    private Optional<Candidate> shortestQueue(List<Candidate> candidates) {
        Optional<Candidate> best = Optional.empty();
        for (int draw = 0; draw < CANDIDATES && !candidates.isEmpty(); draw++) {
            Candidate drawn = candidates.get(random.nextInt(candidates.size()));
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

    private static List<Candidate> candidates(List<Known> accepting, boolean isRemote, long now) {
        List<Known> targets =
                accepting.stream().filter(known -> known.isRemote() == isRemote).toList();
        Means means = Means.of(targets);
        return targets.stream().map(known -> estimate(known, means, now)).toList();
    }

    private static Candidate estimate(Known known, Means means, long now) {
        TargetLoadTracker.TargetLoad target = known.load();
        if (target.measured().isEmpty()) {
            double load = means.utilization() * means.slots() + target.outstanding();
            return new Candidate(known.endpoint(), known.distance(), load, means.slots());
        }
        LoadReport report = target.measured().get();
        long age = Math.max(0, now - target.measuredNanoseconds());
        double usual = means.utilization() * report.slots();
        double reported = report.running() + report.waiting();
        double remaining = usual + (reported - usual) * Math.exp(-age / REPORT_LIFE_NANOSECONDS);
        double load = Math.max(remaining + target.sentUncounted(), target.outstanding());
        return new Candidate(known.endpoint(), known.distance(), load, report.slots());
    }
}
