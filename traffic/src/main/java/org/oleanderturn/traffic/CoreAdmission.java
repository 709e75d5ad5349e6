package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

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

    private static final Duration SHORTEST_RETRY_AFTER = Duration.ofMillis(200);
    private static final Duration LONGEST_RETRY_AFTER = Duration.ofSeconds(1);

    /** The admitted share, and when it was adjusted last. */
    private record Share(double share, long adjustedNanoseconds) {}

    private final LongSupplier nanoseconds;
    private final RandomGenerator random;
    private final AtomicReference<Share> current;

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

    // -- commands

    /**
     * Returns whether to take a request, and adjusts the admitted share.
     *
     * @param lateness how late the core runs what arrives
     * @param rank the priority of the request, 0 first
     */
    public boolean tryAdmit(Duration lateness, int rank) {
        double share = adjust(lateness);
        double factor = rank >= 0 && rank < URGENCY_FACTORS.length ? URGENCY_FACTORS[rank] : 1;
        boolean isTooLate = lateness.compareTo(LATENESS_OF_REFUSAL) > 0;
        return !isTooLate && (share >= 1 || random.nextDouble() < share * factor);
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
