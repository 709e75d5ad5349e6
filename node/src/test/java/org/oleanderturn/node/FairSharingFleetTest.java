package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oleanderturn.mesh.Decision;
import org.oleanderturn.mesh.SlotShare;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.node.SimulatedFleet.Exchange;
import org.oleanderturn.platform.FakeOperator;

/**
 * Plays one organisation that sends six times its usual requests while a less urgent kind doubles, above what the targets can
 * run, and guards against entries and guards that together let the others pay for it.
 */
final class FairSharingFleetTest {
    private static final int FLEET_SIZE = 12;
    private static final int SLOTS = 9;
    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final int ORGANISATIONS = 40;
    private static final double SIZE_EXPONENT = -1.2;
    private static final double BURST_FACTOR = 6;
    private static final Duration DAY = Duration.ofSeconds(12);

    private static final double MEAN_WORK_SECONDS = 0.2;
    private static final double CORE_SHARE = 0.3;
    private static final Duration READ_COST = Duration.ofMillis(1);
    private static final Duration SEND_COST = Duration.ofMillis(3);

    private static final double LOOKUP_LOAD = 0.55;
    private static final double BULK_LOAD = 2 * 0.2;
    private static final int FIRST_SMALL = 10;
    private static final double LEAST_PART_OF_OVERALL_SHARE = 0.25;
    private static final double SERVED_SHARE_OF_SMALL = 0.97;
    private static final double PREFERENCE_OF_SMALL = 1.5;
    private static final Duration TARGET_LATENCY = Duration.ofMillis(500);

    /** The priorities of the routes, which are the ranks of organisations of priority 0. */
    private static final int LOOKUP_RANK = 1;

    private static final int DOWNLOAD_RANK = 5;
    private static final int FIRST_SEED = Integer.getInteger("oleanderturn.firstSeed", 0);
    private static final int SEEDS = Integer.getInteger("oleanderturn.seeds", 2);

    /** What limits the fleet, and how many requests it can serve. */
    private enum Bottleneck {
        TARGETS(FLEET_SIZE * SLOTS / MEAN_WORK_SECONDS),
        CORES(FLEET_SIZE * CORE_SHARE / (2 * READ_COST.plus(SEND_COST).toNanos() / 1e9));

        private final double requestsPerSecond;

        Bottleneck(double requestsPerSecond) {
            this.requestsPerSecond = requestsPerSecond;
        }
    }

    /** Guards against nodes that refuse all organisations alike while their own cores are late. */
    @Test
    void shouldAdmitSmallOrganisationsMoreOftenWhenCoresAreTheBottleneck() {
        IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                .parallel()
                .forEach(seed -> SimulatedTime.simulate(() -> {
                    List<Exchange> exchanges = play(seed, Bottleneck.CORES);
                    assertNoneDeprived(seed, exchanges);
                    double overall = share(exchanges, _ -> true);
                    assertWithMessage("seed %s, small organisations, overall %s", seed, overall)
                            .that(share(exchanges, exchange -> organisation(exchange.path()) >= FIRST_SMALL))
                            .isAtLeast(PREFERENCE_OF_SMALL * overall);
                }));
    }

    @Test
    void shouldShareTheRoomAmongOrganisationsWhenOneSendsSixTimesItsUsual() {
        IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                .parallel()
                .forEach(seed -> SimulatedTime.simulate(() -> assertShared(seed, play(seed, Bottleneck.TARGETS))));
    }

    /** Guards against a run that waits, behind less urgent requests, for what it calls. */
    @Test
    void shouldRankACallLikeTheMostUrgentRunOfTheLocalTarget() {
        SimulatedTime.simulate(() -> {
            ConfigurationSnapshot configuration =
                    FakeOperator.snapshotWithOrganisations(SimulatedFleet.SERVICE, MAXIMUM_ATTEMPTS, 1, 0);
            SimulatedFleet fleet = new SimulatedFleet(1, SLOTS, configuration, 0, Optional.empty());
            fleet.setWorkTime(Duration.ofMillis(300), Duration.ofMillis(300));
            fleet.clients()
                    .showCredentials(path ->
                            path.startsWith("/lookup/") ? Optional.of(FakeOperator.credentials(0)) : Optional.empty());
            fleet.sendOnce(Duration.ZERO, "/lookup/0/1");
            fleet.sendOnce(Duration.ofMillis(100), "/download/during-the-run");
            fleet.sendOnce(Duration.ofSeconds(1), "/download/later");
            fleet.run(Duration.ofSeconds(2));
            List<Integer> ranks = fleet.decisions().stream()
                    .filter(Decision.Guarded.class::isInstance)
                    .map(Decision.Guarded.class::cast)
                    .map(Decision.Guarded::share)
                    .filter(share -> share.organisation().isEmpty())
                    .map(SlotShare::rank)
                    .toList();
            assertThat(ranks).containsExactly(LOOKUP_RANK, DOWNLOAD_RANK).inOrder();
        });
    }

    private static void assertNoneDeprived(int seed, List<Exchange> exchanges) {
        double overall = share(exchanges, _ -> true);
        for (int number = 0; number < ORGANISATIONS; number++) {
            int organisation = number;
            assertWithMessage("seed %s, share of organisation %s, overall %s", seed, number, overall)
                    .that(share(exchanges, exchange -> organisation(exchange.path()) == organisation))
                    .isAtLeast(LEAST_PART_OF_OVERALL_SHARE * overall);
        }
    }

    private static void assertShared(int seed, List<Exchange> exchanges) {
        assertNoneDeprived(seed, exchanges);
        double overall = share(exchanges, _ -> true);
        Predicate<Exchange> small =
                exchange -> exchange.path().startsWith("/lookup/") && organisation(exchange.path()) >= FIRST_SMALL;
        assertWithMessage("seed %s, lookups of small organisations, overall %s", seed, overall)
                .that(share(exchanges, small))
                .isAtLeast(SERVED_SHARE_OF_SMALL);
        for (int number = 0; number < SimulatedFleet.ZONES; number++) {
            int zone = number;
            assertWithMessage("seed %s, lookups of small organisations in zone %s", seed, zone)
                    .that(share(
                            exchanges,
                            small.and(exchange -> exchange.sending().entry() % SimulatedFleet.ZONES == zone)))
                    .isAtLeast(SERVED_SHARE_OF_SMALL);
        }
        List<Long> durations = exchanges.stream()
                .filter(small)
                .filter(FairSharingFleetTest::isServed)
                .map(exchange -> exchange.endMilliseconds() - exchange.sending().milliseconds())
                .sorted()
                .toList();
        assertWithMessage("seed %s, 99th percentile of lookups of small organisations", seed)
                .that(durations.get(durations.size() * 99 / 100))
                .isAtMost(2 * TARGET_LATENCY.toMillis());
    }

    private static List<Exchange> play(int seed, Bottleneck bottleneck) {
        ConfigurationSnapshot configuration =
                FakeOperator.snapshotWithOrganisations(SimulatedFleet.SERVICE, MAXIMUM_ATTEMPTS, ORGANISATIONS, 1);
        SimulatedFleet fleet = new SimulatedFleet(FLEET_SIZE, SLOTS, configuration, seed, Optional.empty());
        fleet.clients().showCredentials(path -> Optional.of(FakeOperator.credentials(organisation(path))));
        if (bottleneck == Bottleneck.CORES) {
            fleet.hosts().forEach(host -> host.setCore(CORE_SHARE, READ_COST, SEND_COST));
        }
        double sizes = IntStream.rangeClosed(1, ORGANISATIONS)
                .mapToDouble(number -> Math.pow(number, SIZE_EXPONENT))
                .sum();
        for (int organisation = 0; organisation < ORGANISATIONS; organisation++) {
            double share = Math.pow(organisation + 1, SIZE_EXPONENT) / sizes * (organisation == 0 ? BURST_FACTOR : 1);
            send(fleet, "/lookup/" + organisation, bottleneck.requestsPerSecond * LOOKUP_LOAD * share);
            send(fleet, "/bulk/" + organisation, bottleneck.requestsPerSecond * BULK_LOAD * share);
        }
        fleet.run(DAY.plus(SimulatedFleet.CLIENT_TIMEOUT).plusSeconds(1));
        return fleet.exchanges();
    }

    private static void send(SimulatedFleet fleet, String path, double requestsPerSecond) {
        long requests = Math.round(requestsPerSecond * DAY.toSeconds());
        for (long request = 0; request < requests; request++) {
            fleet.sendOnce(Duration.ofMillis(fleet.random().nextLong(DAY.toMillis())), path + "/" + request);
        }
    }

    private static int organisation(String path) {
        return Integer.parseInt(path.split("/", -1)[2]);
    }

    private static double share(List<Exchange> exchanges, Predicate<Exchange> filter) {
        List<Exchange> chosen = exchanges.stream().filter(filter).toList();
        return (double) chosen.stream().filter(FairSharingFleetTest::isServed).count() / chosen.size();
    }

    private static boolean isServed(Exchange exchange) {
        return exchange.answer().status() == 200;
    }
}
