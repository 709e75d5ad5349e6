package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.OrganisationName;

/**
 * Decides whether a request is offered to a target of its service, by how many offers were refused for lack of room lately
 * and how long the refusals took.
 *
 * <p>The load is one above what the targets can run: there each request is refused by one target after the other, and these
 * refusals use the cores that the served requests need, which shows in the time that they take. Offers then pass in
 * proportion to those that were taken, several times as many, so that every slot that becomes free finds a request. While
 * refusals come at once, a further offer costs little and may find room. A request that is not offered did not run.
 *
 * <p>What passes is divided among organisations by {@link OrganisationDemand}.
 *
 * <p>Invariant: nothing is held back while at least every second offer is taken, and a few offers always pass. Thread safe
 * if the random generator is; without locks for requests without an organisation.
 */
public final class OfferThrottle {
    /** Outcomes count less by this time constant, in nanoseconds: loads change within seconds. */
    private static final double TIME_CONSTANT_NANOSECONDS = 1e9;

    /** Offers that pass for each one that was taken, when refusals take {@link #SLOW_REFUSAL_NANOSECONDS} or longer. */
    private static final double FEWEST_OFFERS_FOR_EACH_TAKEN = 2;

    /** Refusals take this long only where cores have more to do than they can; from another region they take half as long. */
    private static final double SLOW_REFUSAL_NANOSECONDS = 30e6;

    /** Keeps the offers for each one that was taken finite when refusals are quick. */
    private static final double LEAST_SLOWNESS = 0.01;

    /** Weight of the newest refusal in the average of the times that they take. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** Offers that always pass within the time constant, so that room is found when nothing was taken lately. */
    private static final double SURE_OFFERS = 3;

    private final LongSupplier nanoseconds;
    private final RandomGenerator random;
    private final AtomicReference<Outcomes> recent;
    private final OrganisationDemand demand;

    private OfferThrottle(LongSupplier nanoseconds, RandomGenerator random) {
        this.nanoseconds = nanoseconds;
        this.random = random;
        this.demand = OrganisationDemand.of(nanoseconds);
        this.recent = new AtomicReference<>(new Outcomes(0, 0, 0, Duration.ZERO, nanoseconds.getAsLong()));
    }

    /** Returns a throttle that has seen no offer; the clock is in nanoseconds. */
    public static OfferThrottle of(LongSupplier nanoseconds, RandomGenerator random) {
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(random, "random is null");
        return new OfferThrottle(nanoseconds, random);
    }

    /**
     * What became of recent requests, where older ones count less. Immutable and thread safe.
     *
     * @param requests offers that were taken or refused, and requests that were not offered
     * @param taken offers that were taken
     * @param refusalNanoseconds how long recent refusals took on average
     * @param expectedWait after which time the last target that refused expects room
     */
    private record Outcomes(
            double requests, double taken, double refusalNanoseconds, Duration expectedWait, long nanoseconds) {

        Outcomes at(long now) {
            double factor = Math.exp(-Math.max(0, now - nanoseconds) / TIME_CONSTANT_NANOSECONDS);
            return new Outcomes(requests * factor, taken * factor, refusalNanoseconds, expectedWait, now);
        }

        Outcomes plus(double furtherTaken) {
            return new Outcomes(requests + 1, taken + furtherTaken, refusalNanoseconds, expectedWait, nanoseconds);
        }

        Outcomes plusRefusal(double averageNanoseconds, Duration wait) {
            return new Outcomes(requests + 1, taken, averageNanoseconds, wait, nanoseconds);
        }

        double averageWith(Duration refusal) {
            return refusalNanoseconds * (1 - SMOOTHING_FACTOR) + refusal.toNanos() * SMOOTHING_FACTOR;
        }

        double withheldShare() {
            return Math.max(0, (requests - offersForEachTaken() * taken - SURE_OFFERS) / (requests + 1));
        }

        private double offersForEachTaken() {
            double slowness = Math.min(1, refusalNanoseconds / SLOW_REFUSAL_NANOSECONDS);
            return FEWEST_OFFERS_FOR_EACH_TAKEN / Math.max(LEAST_SLOWNESS, slowness);
        }
    }

    // -- queries

    /** Returns the share of requests that are not offered now, from 0 to 1. */
    public double withheldShare() {
        return recent.get().at(nanoseconds.getAsLong()).withheldShare();
    }

    /** Returns after which time the last target that refused expected room; zero if none has refused. */
    public Duration expectedWait() {
        return recent.get().expectedWait();
    }

    /** Returns whether fewer of an organisation's requests are offered than of all, as it sends more than its share. */
    public boolean isOverShare(OrganisationName organisation) {
        double offered = 1 - withheldShare();
        return demand.passingShare(organisation, offered) < offered;
    }

    // -- commands

    /** Returns whether to offer a request without an organisation; the outcome of an offer has to be recorded. */
    public boolean tryOffer() {
        return tryOffer(Optional.empty());
    }

    /** Returns whether to offer a request of an organisation now; the outcome of an offer has to be recorded. */
    public boolean tryOffer(Optional<OrganisationName> organisation) {
        organisation.ifPresent(demand::recordRequest);
        double allWithheld = withheldShare();
        double withheld = organisation.isEmpty() || allWithheld <= 0
                ? allWithheld
                : 1 - demand.passingShare(organisation.get(), 1 - allWithheld);
        if (withheld <= 0 || random.nextDouble() >= withheld) {
            return true;
        }
        long now = nanoseconds.getAsLong();
        recent.updateAndGet(known -> known.at(now).plus(0));
        return false;
    }

    /** Records that a target ran the request that it was offered. */
    public void recordTaken() {
        long now = nanoseconds.getAsLong();
        recent.updateAndGet(known -> known.at(now).plus(1));
    }

    /**
     * Records that a target had no room for the request that it was offered, and refused it on arrival.
     *
     * @param duration how long the refusal took
     * @param expectedWait after which time the target expects room
     */
    public void recordRefused(Duration duration, Duration expectedWait) {
        Objects.requireNonNull(duration, "duration is null");
        Objects.requireNonNull(expectedWait, "expectedWait is null");
        long now = nanoseconds.getAsLong();
        recent.updateAndGet(known -> known.at(now).plusRefusal(known.averageWith(duration), expectedWait));
    }

    /** Records that a target refused a request after it had waited there; the time that this took tells nothing of cores. */
    public void recordOvertaken(Duration expectedWait) {
        Objects.requireNonNull(expectedWait, "expectedWait is null");
        long now = nanoseconds.getAsLong();
        recent.updateAndGet(known -> known.at(now).plusRefusal(known.refusalNanoseconds(), expectedWait));
    }
}
