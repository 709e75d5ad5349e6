package org.oleanderturn.traffic;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RoutingTable;

/**
 * Load balancer that draws two endpoints at random and chooses the one with the lower cost (power of two choices),
 * from the nearest locality level with capacity.
 *
 * <p>Invariants: only ready endpoints that are not excluded are chosen; a more distant level is used only when every
 * endpoint of the nearer levels is saturated, ejected or excluded. When every level is saturated, the nearest
 * endpoint that is not ejected is chosen and its guard decides; when all are ejected, any. Thread safe if the random
 * generator is.
 */
public final class TwoChoicesBalancer {
    private final UpstreamStatistics statistics;
    private final OutlierEjection ejection;
    private final LongSupplier nanoseconds;
    private final RandomGenerator random;

    private TwoChoicesBalancer(
            UpstreamStatistics statistics, OutlierEjection ejection, LongSupplier nanoseconds, RandomGenerator random) {
        this.statistics = statistics;
        this.ejection = ejection;
        this.nanoseconds = nanoseconds;
        this.random = random;
    }

    /** Returns a balancer over the given statistics; the clock is in nanoseconds. */
    public static TwoChoicesBalancer of(
            UpstreamStatistics statistics, OutlierEjection ejection, LongSupplier nanoseconds, RandomGenerator random) {
        Objects.requireNonNull(statistics, "statistics is null");
        Objects.requireNonNull(ejection, "ejection is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(random, "random is null");
        return new TwoChoicesBalancer(statistics, ejection, nanoseconds, random);
    }

    /** Returns the endpoint for the next attempt; empty if no ready endpoint is left. */
    public Optional<Endpoint> choose(RoutingTable.Entry entry, Locality locality, Set<NodeId> excluded) {
        Objects.requireNonNull(entry, "entry is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(excluded, "excluded is null");
        UpstreamGroup group = statistics.group(entry.service().name(), entry.endpoints(), locality);
        long now = nanoseconds.getAsLong();
        for (Eligibility eligibility : Eligibility.values()) {
            for (Upstream[] level : group.localityLevels()) {
                Optional<Upstream> chosen = choose(group, level, excluded, eligibility, now);
                if (chosen.isPresent()) {
                    return chosen.map(Upstream::endpoint);
                }
            }
        }
        return Optional.empty();
    }

    private Optional<Upstream> choose(
            UpstreamGroup group, Upstream[] level, Set<NodeId> excluded, Eligibility eligibility, long now) {
        if (level.length == 0) {
            return Optional.empty();
        }
        int first = random.nextInt(level.length);
        int second = level.length == 1 ? first : (first + 1 + random.nextInt(level.length - 1)) % level.length;
        boolean isFirstEligible = isEligible(group, level[first], excluded, eligibility, now);
        boolean isSecondEligible = isEligible(group, level[second], excluded, eligibility, now);
        if (isFirstEligible && isSecondEligible) {
            double median = group.medianLatency();
            boolean isFirstBetter = level[first].cost(median, now) <= level[second].cost(median, now);
            return Optional.of(level[isFirstBetter ? first : second]);
        }
        if (isFirstEligible || isSecondEligible) {
            return Optional.of(level[isFirstEligible ? first : second]);
        }
        return scan(group, level, first, excluded, eligibility, now);
    }

    private Optional<Upstream> scan(
            UpstreamGroup group, Upstream[] level, int start, Set<NodeId> excluded, Eligibility eligibility, long now) {
        for (int offset = 0; offset < level.length; offset++) {
            Upstream candidate = level[(start + offset) % level.length];
            if (isEligible(group, candidate, excluded, eligibility, now)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    private boolean isEligible(
            UpstreamGroup group, Upstream upstream, Set<NodeId> excluded, Eligibility eligibility, long now) {
        if (excluded.contains(upstream.endpoint().node())) {
            return false;
        }
        return switch (eligibility) {
            case UNSATURATED -> !upstream.isSaturated(now) && !ejection.isEjected(group, upstream, now);
            case NOT_EJECTED -> !ejection.isEjected(group, upstream, now);
            case ANY -> true;
        };
    }

    /** What makes an endpoint eligible, strictest first. */
    private enum Eligibility {
        UNSATURATED,
        NOT_EJECTED,
        ANY
    }
}
