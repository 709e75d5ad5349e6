package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.OrganisationName;

/**
 * Decides which new requests a node takes, by how late its own core runs what arrives.
 *
 * <p>A node that reads more than its core can serve answers everything late. The admitted share falls while the core is late
 * and rises again when it is not; urgent requests are admitted more often, and none of a kind is refused altogether. Thread
 * safe if the random generator is.
 */
public final class CoreAdmission {
    /** A core that is later than this has more to do than it can; a request waits for the cores of two nodes several times. */
    private static final Duration LATENESS_LIMIT = Duration.ofMillis(60);

    /** How often the admitted share changes; the effect of a change shows after about this time. */
    private static final Duration ADJUSTMENT_PERIOD = Duration.ofMillis(100);

    /** A request that was read this late is refused, as its client may already have left. */
    private static final Duration LATENESS_OF_REFUSAL = LATENESS_LIMIT.multipliedBy(5);

    /** Limits of the factor by which the share falls, which is less the later the core is. */
    private static final double STRONGEST_DECREASE = 0.4;

    private static final double WEAKEST_DECREASE = 0.9;
    private static final double INCREASE_STEP = 0.05;
    private static final double LOWEST_SHARE = 0.05;

    /** How much more often than others the most urgent requests, and those next to them, are admitted. */
    private static final double[] URGENCY_FACTORS = {2, 1.5};

    /** Ranks that came within this time count when urgency is compared. */
    private static final Duration RECENT_RANK = Duration.ofSeconds(5);

    /** More than the priorities of organisations and routes make; bounds the memory. */
    private static final int MAXIMUM_RANKS = 64;

    private static final Duration SHORTEST_RETRY_AFTER = Duration.ofMillis(200);
    private static final Duration LONGEST_RETRY_AFTER = Duration.ofSeconds(1);

    /** The admitted share, and when it was adjusted last. */
    private record Share(double share, long adjustedNanoseconds) {}

    private final LongSupplier nanoseconds;
    private final RandomGenerator random;
    private final AtomicReference<Share> current;
    private final ConcurrentSkipListMap<Integer, OrganisationDemand> demandByRank = new ConcurrentSkipListMap<>();

    private CoreAdmission(LongSupplier nanoseconds, RandomGenerator random) {
        this.nanoseconds = nanoseconds;
        this.random = random;
        this.current = new AtomicReference<>(new Share(1, nanoseconds.getAsLong()));
    }

    /** Returns an admission that admits all requests at first; the clock is in nanoseconds. */
    public static CoreAdmission of(LongSupplier nanoseconds, RandomGenerator random) {
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(random, "random is null");
        return new CoreAdmission(nanoseconds, random);
    }

    // -- queries

    /** Returns the share of the least urgent requests that is admitted now. */
    public double share() {
        return current.get().share();
    }

    /** Returns when a refused client should return: when the core has done what it has, and a little later. */
    public Duration retryAfter(Duration lateness) {
        Duration expected = lateness.plus(SHORTEST_RETRY_AFTER);
        return expected.compareTo(LONGEST_RETRY_AFTER) < 0 ? expected : LONGEST_RETRY_AFTER;
    }

    /** Returns whether fewer of an organisation's requests are admitted than of all of its rank. */
    public boolean isOverShare(int rank, OrganisationName organisation) {
        OrganisationDemand demand = demandByRank.get(rank);
        double common = commonShare(share(), rank);
        return demand != null && demand.passingShare(organisation, common) < common;
    }

    /** Returns the share of the requests of a rank that is admitted while a share of the least urgent ones is. */
    private double commonShare(double share, int rank) {
        return Math.min(1, share * urgencyFactor(recentRanksBefore(rank)));
    }

    // -- commands

    /**
     * Returns whether to take a request without an organisation, and adjusts the admitted share.
     *
     * @param lateness how late the core runs what arrives
     * @param rank the priority of the request, 0 first
     */
    public boolean tryAdmit(Duration lateness, int rank) {
        double share = adjust(lateness);
        double factor = urgencyFactor(rank);
        boolean isTooLate = lateness.compareTo(LATENESS_OF_REFUSAL) > 0;
        return !isTooLate && (share >= 1 || random.nextDouble() < share * factor);
    }

    /**
     * Returns whether to take a request of an organisation, and adjusts the admitted share. The ranks of organisations have
     * no fixed numbers, so that urgency counts from the most urgent rank of those that came lately; what is admitted of a
     * rank is divided by {@link OrganisationDemand}.
     *
     * @param lateness how late the core runs what arrives
     * @param rank the rank of the request, composed of the priorities of its organisation and its route
     */
    public boolean tryAdmit(Duration lateness, int rank, OrganisationName organisation) {
        double share = adjust(lateness);
        Optional<OrganisationDemand> demand = demand(rank);
        demand.ifPresent(known -> known.recordRequest(organisation));
        if (lateness.compareTo(LATENESS_OF_REFUSAL) > 0) {
            return false;
        }
        if (share >= 1) {
            return true;
        }
        double common = commonShare(share, rank);
        double passing =
                demand.map(known -> known.passingShare(organisation, common)).orElse(common);
        return random.nextDouble() < passing;
    }

    /** Returns the demand of a rank; empty for a further one while the most are in use. */
    private Optional<OrganisationDemand> demand(int rank) {
        OrganisationDemand known = demandByRank.get(rank);
        if (known != null) {
            return Optional.of(known);
        }
        demandByRank.values().removeIf(demand -> demand.idleNanoseconds() > RECENT_RANK.toNanos());
        return demandByRank.size() >= MAXIMUM_RANKS
                ? Optional.empty()
                : Optional.of(demandByRank.computeIfAbsent(rank, _ -> OrganisationDemand.of(nanoseconds)));
    }

    private int recentRanksBefore(int rank) {
        int count = 0;
        for (OrganisationDemand demand : demandByRank.headMap(rank).values()) {
            count += demand.idleNanoseconds() <= RECENT_RANK.toNanos() ? 1 : 0;
        }
        return count;
    }

    private static double urgencyFactor(int index) {
        return index >= 0 && index < URGENCY_FACTORS.length ? URGENCY_FACTORS[index] : 1;
    }

    /**
     * Returns whether to take a call that a run makes, and adjusts the admitted share. The load is one that the cores can't
     * bear: of a run that is refused a call, all the work done so far is lost, so that new requests give way to it.
     *
     * @param lateness how late the core runs what arrives
     */
    public boolean tryAdmitCall(Duration lateness) {
        adjust(lateness);
        return lateness.compareTo(LATENESS_OF_REFUSAL) <= 0;
    }

    private double adjust(Duration lateness) {
        long now = nanoseconds.getAsLong();
        boolean isLate = lateness.compareTo(LATENESS_LIMIT) > 0;
        return current.updateAndGet(known -> {
                    if (now - known.adjustedNanoseconds() < ADJUSTMENT_PERIOD.toNanos()) {
                        return known;
                    }
                    double next = isLate
                            ? Math.max(LOWEST_SHARE, known.share() * decrease(lateness))
                            : Math.min(1, known.share() + INCREASE_STEP);
                    return new Share(next, now);
                })
                .share();
    }

    private static double decrease(Duration lateness) {
        double factor = (double) LATENESS_LIMIT.toNanos() / lateness.toNanos();
        return Math.max(STRONGEST_DECREASE, Math.min(WEAKEST_DECREASE, factor));
    }
}
