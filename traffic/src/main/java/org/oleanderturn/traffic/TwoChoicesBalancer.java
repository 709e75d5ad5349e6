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
 * Chooses the endpoint that an attempt goes to: the better of two drawn at random, from the nearest level with room.
 *
 * <p>Invariants: only ready endpoints outside the excluded set are chosen; a farther level is used only when each
 * endpoint of the nearer ones is saturated, ejected or excluded. When no level has room the nearest endpoint that is not
 * ejected is chosen, and its guard decides. Thread safe when the random generator is.
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

    /** Returns a balancer over what the statistics have seen. */
    public static TwoChoicesBalancer of(
            UpstreamStatistics statistics, OutlierEjection ejection, LongSupplier nanoseconds, RandomGenerator random) {
        Objects.requireNonNull(statistics, "statistics is null");
        Objects.requireNonNull(ejection, "ejection is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(random, "random is null");
        return new TwoChoicesBalancer(statistics, ejection, nanoseconds, random);
    }

    /** Returns the endpoint for the next attempt, or none when no ready endpoint is left. */
    public Optional<Endpoint> choose(RoutingTable.Entry entry, Locality own, Set<NodeId> excluded) {
        Objects.requireNonNull(entry, "entry is null");
        Objects.requireNonNull(own, "own is null");
        Objects.requireNonNull(excluded, "excluded is null");
        UpstreamGroup group = statistics.group(entry.service().name(), entry.endpoints(), own);
        long now = nanoseconds.getAsLong();
        for (Eligibility room : Eligibility.values()) {
            for (Upstream[] level : group.localityLevels()) {
                Optional<Upstream> chosen = choose(group, level, excluded, room, now);
                if (chosen.isPresent()) {
                    return chosen.map(Upstream::endpoint);
                }
            }
        }
        return Optional.empty();
    }

    private Optional<Upstream> choose(
            UpstreamGroup group, Upstream[] level, Set<NodeId> excluded, Eligibility room, long now) {
        if (level.length == 0) {
            return Optional.empty();
        }
        int first = random.nextInt(level.length);
        int second = level.length == 1 ? first : (first + 1 + random.nextInt(level.length - 1)) % level.length;
        boolean isFirstOpen = isEligible(group, level[first], excluded, room, now);
        boolean isSecondOpen = isEligible(group, level[second], excluded, room, now);
        if (isFirstOpen && isSecondOpen) {
            double typical = group.medianLatency();
            boolean isFirstBetter = level[first].cost(typical, now) <= level[second].cost(typical, now);
            return Optional.of(level[isFirstBetter ? first : second]);
        }
        if (isFirstOpen || isSecondOpen) {
            return Optional.of(level[isFirstOpen ? first : second]);
        }
        return scan(group, level, first, excluded, room, now);
    }

    private Optional<Upstream> scan(
            UpstreamGroup group, Upstream[] level, int start, Set<NodeId> excluded, Eligibility room, long now) {
        for (int step = 0; step < level.length; step++) {
            Upstream candidate = level[(start + step) % level.length];
            if (isEligible(group, candidate, excluded, room, now)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    private boolean isEligible(
            UpstreamGroup group, Upstream upstream, Set<NodeId> excluded, Eligibility room, long now) {
        if (excluded.contains(upstream.endpoint().node())) {
            return false;
        }
        return switch (room) {
            case UNSATURATED -> !upstream.isSaturated(now) && !ejection.isEjected(group, upstream, now);
            case NOT_EJECTED -> !ejection.isEjected(group, upstream, now);
            case ANY -> true;
        };
    }

    /** How much room an endpoint must have, strictest first. */
    private enum Eligibility {
        UNSATURATED,
        NOT_EJECTED,
        ANY
    }
}
