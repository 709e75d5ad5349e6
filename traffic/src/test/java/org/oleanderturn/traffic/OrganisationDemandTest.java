package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.OrganisationName;

final class OrganisationDemandTest {
    private static final OrganisationName LARGE = OrganisationName.of("large");
    private static final OrganisationName SMALL = OrganisationName.of("small");
    private static final Duration LATE = Duration.ofMillis(100);

    private final AtomicLong clock = new AtomicLong();

    /** Guards against a small organisation that loses as large a part of its requests as the one that sends most. */
    @Test
    void shouldLetTheSmallOrganisationPassWhenALargeOneSendsMoreThanPasses() {
        OrganisationDemand demand = OrganisationDemand.of(clock::get);
        for (int request = 0; request < 200; request++) {
            clock.addAndGet(Duration.ofMillis(10).toNanos());
            demand.recordRequest(request % 10 == 0 ? SMALL : LARGE);
        }
        assertThat(demand.passingShare(SMALL, 0.5)).isEqualTo(1.0);
        // 0.9 x 0.444 + 0.1 x 1 = 0.5.
        assertThat(demand.passingShare(LARGE, 0.5)).isWithin(0.02).of(0.444);
        assertThat(demand.passingShare(LARGE, 1)).isEqualTo(1.0);
    }

    /** Guards against an organisation that gets next to nothing because many others ask. */
    @Test
    void shouldLetHalfOfTheCommonSharePassWhenManyOthersAsk() {
        OrganisationDemand demand = OrganisationDemand.of(clock::get);
        for (int request = 0; request < 300; request++) {
            demand.recordRequest(request < 200 ? LARGE : OrganisationName.of("organisation-" + request));
        }
        assertThat(demand.passingShare(LARGE, 0.2)).isAtLeast(0.1);
    }

    /** Guards against an offer throttle that holds back the small organisation for the refusals of the large one. */
    @Test
    void shouldOfferTheRequestsOfTheSmallOrganisationWhenMostOffersAreRefused() {
        OfferThrottle throttle = OfferThrottle.of(clock::get, new SplittableRandom(1));
        int offered = 0;
        for (int request = 0; request < 1_000; request++) {
            clock.addAndGet(Duration.ofMillis(5).toNanos());
            if (throttle.tryOffer(Optional.of(request % 20 == 0 ? SMALL : LARGE))) {
                offered += request % 20 == 0 ? 1 : 0;
                if (request % 5 == 0) {
                    throttle.recordTaken();
                } else {
                    throttle.recordRefused(LATE, LATE);
                }
            }
        }
        assertThat(throttle.withheldShare()).isGreaterThan(0.1);
        assertThat(offered).isAtLeast(48);
    }

    /** Guards against organisations with priorities above 0 of which no kind of request counts as urgent. */
    @Test
    void shouldAdmitTheMostUrgentOfTheRanksThatComeWhenOrganisationsHavePriorities() {
        CoreAdmission admission = CoreAdmission.of(clock::get, new SplittableRandom(1));
        int[] admitted = new int[2];
        for (int request = 0; request < 2_000; request++) {
            clock.addAndGet(Duration.ofMillis(10).toNanos());
            Duration lateness = admission.share() > 0.4 ? LATE : Duration.ZERO;
            boolean isUrgent = request % 4 == 0;
            OrganisationName sender = isUrgent ? SMALL : LARGE;
            admitted[isUrgent ? 0 : 1] += admission.tryAdmit(lateness, isUrgent ? 20 : 32, sender) ? 1 : 0;
        }
        assertThat(admitted[0] / 500.0).isGreaterThan(1.2 * admitted[1] / 1_500.0);
    }

    /** Guards against a core that is late and still takes all that one organisation sends. */
    @Test
    void shouldAdmitTheSmallOrganisationMoreOftenWhenTheCoreIsLate() {
        CoreAdmission admission = CoreAdmission.of(clock::get, new SplittableRandom(1));
        int small = 0;
        int large = 0;
        for (int request = 0; request < 2_000; request++) {
            clock.addAndGet(Duration.ofMillis(10).toNanos());
            Duration lateness = admission.share() > 0.3 ? LATE : Duration.ZERO;
            boolean isSmall = request % 20 == 0;
            boolean isAdmitted = admission.tryAdmit(lateness, 12, isSmall ? SMALL : LARGE);
            small += isSmall && isAdmitted ? 1 : 0;
            large += !isSmall && isAdmitted ? 1 : 0;
        }
        assertThat(small).isAtLeast(95);
        assertThat(large).isLessThan(1_700);
    }
}
