package org.oleanderturn.traffic;

import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.oleanderturn.model.OrganisationName;

/**
 * Divides what an entry lets pass among the organisations that ask, for one kind of decision and one rank.
 *
 * <p>The load is one organisation that sends many times its usual requests, above what the targets or the cores can bear,
 * so that an entry holds back a part of the requests. Held back alike, the small organisations would lose as large a part
 * as the one that causes it. Each organisation passes up to a common rate instead (max-min fairness), the rate at which
 * as many requests pass in all; none passes less than a part of the common share.
 *
 * <p>Invariant: at most {@link #MAXIMUM_ORGANISATIONS} are held, and further ones pass by the common share. Thread safe,
 * without locks for known organisations.
 */
final class OrganisationDemand {
    /** More than send through one entry within seconds; bounds the memory and the time of a decision. */
    static final int MAXIMUM_ORGANISATIONS = 512;

    /** Requests count less by this time constant; an entry sees few requests of a small organisation within it. */
    private static final double TIME_CONSTANT_NANOSECONDS = 2e9;

    /** Organisations with fewer recent requests are forgotten; a single request counts so little after 6 s. */
    private static final double LEAST_DEMAND = 0.05;

    /** As at the queues: the bound of the requirements is a quarter. */
    private static final double LEAST_PART_OF_COMMON_SHARE = 0.5;

    /** Bisections of the common rate; the error is a millionth of the largest demand. */
    private static final int STEPS = 20;

    private final LongSupplier nanoseconds;
    private final ConcurrentHashMap<OrganisationName, Demand> demands = new ConcurrentHashMap<>();
    private volatile long lastRequestNanoseconds;

    private OrganisationDemand(LongSupplier nanoseconds) {
        this.nanoseconds = nanoseconds;
        this.lastRequestNanoseconds = nanoseconds.getAsLong();
    }

    /** Returns a demand of nobody; the clock is in nanoseconds. */
    static OrganisationDemand of(LongSupplier nanoseconds) {
        return new OrganisationDemand(Objects.requireNonNull(nanoseconds, "nanoseconds is null"));
    }

    /** Recent requests of an organisation, where older ones count less. Immutable and thread safe. */
    private record Demand(double requests, long nanoseconds) {
        double at(long now) {
            return requests * Math.exp(-Math.max(0, now - nanoseconds) / TIME_CONSTANT_NANOSECONDS);
        }
    }

    // -- queries

    /** Returns how long ago the last request was, in nanoseconds. */
    long idleNanoseconds() {
        return nanoseconds.getAsLong() - lastRequestNanoseconds;
    }

    /**
     * Returns the share of an organisation's requests to let pass.
     *
     * @param commonShare the share of all requests to let pass, from 0 to 1
     */
    double passingShare(OrganisationName organisation, double commonShare) {
        if (commonShare >= 1) {
            return 1;
        }
        long now = nanoseconds.getAsLong();
        Demand own = demands.get(organisation);
        if (own == null) {
            return commonShare;
        }
        double[] rates =
                demands.values().stream().mapToDouble(demand -> demand.at(now)).toArray();
        return share(own.at(now), commonRate(rates, commonShare), commonShare);
    }

    /** Returns the rate up to which each organisation passes, so that the given share of all requests does. */
    private static double commonRate(double[] rates, double commonShare) {
        double allowed = 0;
        double highest = 0;
        for (double rate : rates) {
            allowed += rate * commonShare;
            highest = Math.max(highest, rate);
        }
        double lowest = 0;
        for (int step = 0; step < STEPS; step++) {
            double middle = (lowest + highest) / 2;
            double passed = 0;
            for (double rate : rates) {
                passed += rate * share(rate, middle, commonShare);
            }
            if (passed > allowed) {
                highest = middle;
            } else {
                lowest = middle;
            }
        }
        return lowest;
    }

    private static double share(double rate, double commonRate, double commonShare) {
        double share = rate <= commonRate ? 1 : commonRate / rate;
        return Math.max(LEAST_PART_OF_COMMON_SHARE * commonShare, share);
    }

    // -- commands

    /** Records a request of an organisation, whether it passes or not. */
    void recordRequest(OrganisationName organisation) {
        long now = nanoseconds.getAsLong();
        lastRequestNanoseconds = now;
        if (!demands.containsKey(organisation)) {
            demands.values().removeIf(demand -> demand.at(now) < LEAST_DEMAND);
            if (demands.size() >= MAXIMUM_ORGANISATIONS) {
                return;
            }
        }
        demands.merge(organisation, new Demand(1, now), (known, _) -> new Demand(known.at(now) + 1, now));
    }
}
