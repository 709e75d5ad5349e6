package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oleanderturn.traffic.OrganisationLoad.Kind;
import org.oleanderturn.traffic.OrganisationLoad.Result;
import org.oleanderturn.traffic.OrganisationLoad.Scenario;

/**
 * Guards against a large organisation that takes the room of the others: one within its limit sends six times its usual
 * requests while a less urgent kind doubles, above what the targets can run.
 */
final class FairSharingTest {
    private static final double LEAST_PART_OF_OVERALL_SHARE = 0.25;
    private static final double SIX_TIMES = 6;
    private static final double TWELVE_TIMES = 12;

    /** Organisations from here on have less than a hundredth of the usual load each. */
    private static final int FIRST_SMALL = 20;

    /** The most urgent ranks fit into the slots without the organisation that sends more. */
    private static final List<Kind> URGENT_KINDS = OrganisationLoad.KINDS.subList(0, 3);

    private static final double SERVED_SHARE_OF_SMALL = 0.99;

    /** Fewer requests than this tell nothing of a share of a few hundredths. */
    private static final int ENOUGH_REQUESTS = 100;

    /** An average run of the load: how much a wait may differ between two courses by chance. */
    private static final Duration TOLERATED_DIFFERENCE = Duration.ofMillis(250);

    @Test
    void shouldServeNoOrganisationLessThanAQuarterOfTheOverallShareWhenOneSendsFarMore() {
        for (int hot : List.of(0, 2, 9)) {
            List<Result> results = OrganisationLoad.play(new Scenario(hot, SIX_TIMES, true, hot));
            double overall = share(results, _ -> true);
            for (int number = 0; number < OrganisationLoad.ORGANISATIONS; number++) {
                int organisation = number;
                assertWithMessage("share of organisation %s, %s sends more, overall %s", number, hot, overall)
                        .that(share(results, result -> result.organisation() == organisation))
                        .isAtLeast(LEAST_PART_OF_OVERALL_SHARE * overall);
            }
        }
    }

    /** Guards against an organisation that loses one kind of request where its others make up for it. */
    @Test
    void shouldBoundTheShareAndTheWaitOfEachOrganisationAndKindWhenOneSendsFarMore() {
        int hot = 0;
        List<Result> results = OrganisationLoad.play(new Scenario(hot, SIX_TIMES, true, 2));
        for (Kind kind : OrganisationLoad.KINDS) {
            double overall = share(results, result -> result.kind().equals(kind));
            for (int number = 0; number < OrganisationLoad.ORGANISATIONS; number++) {
                int organisation = number;
                Predicate<Result> ofBoth = result ->
                        result.organisation() == organisation && result.kind().equals(kind);
                if (results.stream().filter(ofBoth).count() < ENOUGH_REQUESTS) {
                    continue;
                }
                assertWithMessage("%s of organisation %s, overall %s", kind.name(), number, overall)
                        .that(share(results, ofBoth))
                        .isAtLeast(LEAST_PART_OF_OVERALL_SHARE * overall);
                if (organisation != hot && URGENT_KINDS.contains(kind)) {
                    assertWithMessage("99th percentile of the wait, %s of organisation %s", kind.name(), number)
                            .that(longWait(results, ofBoth))
                            .isLessThan(kind.targetLatency());
                }
            }
        }
    }

    @Test
    void shouldServeTheUrgentRequestsOfSmallOrganisationsWhenALargeOneSendsFarMore() {
        List<Result> results = OrganisationLoad.play(new Scenario(0, SIX_TIMES, true, 1));
        for (Kind kind : URGENT_KINDS) {
            assertWithMessage(kind.name()).that(share(results, smallOf(kind))).isAtLeast(SERVED_SHARE_OF_SMALL);
            assertWithMessage("99th percentile of the wait, %s", kind.name())
                    .that(longWait(results, smallOf(kind)).plus(kind.run()))
                    .isLessThan(kind.targetLatency());
        }
    }

    @Test
    void shouldNotLetTheWaitOfSmallOrganisationsGrowWhenALargeOneDoublesItsDemand() {
        List<Result> six = OrganisationLoad.play(new Scenario(0, SIX_TIMES, true, 1));
        List<Result> twelve = OrganisationLoad.play(new Scenario(0, TWELVE_TIMES, true, 1));
        for (Kind kind : URGENT_KINDS) {
            assertWithMessage(kind.name())
                    .that(longWait(twelve, smallOf(kind)))
                    .isLessThan(longWait(six, smallOf(kind)).plus(TOLERATED_DIFFERENCE));
        }
    }

    /** Shows that the load is one of which small organisations suffer when nothing is shared. */
    @Test
    void shouldRefuseAllAlikeWhenRequestsNameNoOrganisation() {
        List<Result> results = OrganisationLoad.play(new Scenario(0, SIX_TIMES, false, 1));
        assertThat(share(results, FairSharingTest::isSmall)).isLessThan(share(results, _ -> true) + 0.05);
        assertThat(share(results, smallOf(URGENT_KINDS.getLast()))).isLessThan(0.5);
    }

    @Test
    void shouldServeAlmostAsManyInAllWhenRequestsNameTheirOrganisation() {
        IntStream.range(0, 3).forEach(seed -> {
            double shared = share(OrganisationLoad.play(new Scenario(0, SIX_TIMES, true, seed)), _ -> true);
            double unshared = share(OrganisationLoad.play(new Scenario(0, SIX_TIMES, false, seed)), _ -> true);
            assertWithMessage("seed %s", seed).that(shared).isAtLeast(unshared * 0.95);
        });
    }

    private static Predicate<Result> smallOf(Kind kind) {
        return result -> isSmall(result) && result.kind().equals(kind);
    }

    private static boolean isSmall(Result result) {
        return result.organisation() >= FIRST_SMALL;
    }

    private static double share(List<Result> results, Predicate<Result> filter) {
        List<Result> chosen = results.stream().filter(filter).toList();
        long served =
                chosen.stream().filter(result -> result.waited().isPresent()).count();
        return (double) served / chosen.size();
    }

    /** Returns the 99th percentile of the wait of served requests. */
    private static Duration longWait(List<Result> results, Predicate<Result> filter) {
        List<Duration> waits = results.stream()
                .filter(filter)
                .map(Result::waited)
                .flatMap(Optional::stream)
                .sorted()
                .toList();
        return waits.get(waits.size() * 99 / 100);
    }
}
