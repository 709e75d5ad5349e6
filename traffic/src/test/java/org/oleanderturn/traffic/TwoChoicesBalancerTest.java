package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.RoutingTable;

final class TwoChoicesBalancerTest {
    private final FakeClock clock = new FakeClock();
    private final OutlierEjection ejection = OutlierEjection.of(EjectionSettings.defaults());
    private final UpstreamStatistics statistics = UpstreamStatistics.of(ejection, clock);
    private final TwoChoicesBalancer balancer = TwoChoicesBalancer.of(statistics, ejection, clock, new Random(7));

    private Optional<Endpoint> choose(RoutingTable.Entry entry) {
        return balancer.choose(entry, Fixtures.HOBART, Set.of());
    }

    @Test
    void shouldChooseOnlyReadyEndpointsWhenOthersAreListed() {
        List<Endpoint> endpoints = Stream.of(EndpointState.values())
                .map(state -> Fixtures.endpoint(
                        "node-" + state.name().toLowerCase(java.util.Locale.ROOT), Fixtures.HOBART, state))
                .toList();
        RoutingTable.Entry entry = Fixtures.entry(RequestKind.LOOKUP, endpoints);
        for (int round = 0; round < 100; round++) {
            assertThat(choose(entry).map(Endpoint::state)).hasValue(EndpointState.READY);
        }
        NodeId ready = NodeId.of("node-ready");
        assertThat(balancer.choose(entry, Fixtures.HOBART, Set.of(ready))).isEmpty();
    }

    @Test
    void shouldChooseReadyAndNotExcludedEndpointsWhenTheTableChangesUnderLoad() {
        LongStream.range(0, 300).forEach(seed -> {
            Random random = new Random(seed);
            for (int round = 0; round < 20; round++) {
                List<Endpoint> endpoints = randomEndpoints(random);
                RoutingTable.Entry entry = Fixtures.entry(RequestKind.LOOKUP, endpoints);
                Set<NodeId> excluded = Set.of(NodeId.of("node-" + random.nextInt(6)));
                boolean isPossible = endpoints.stream()
                        .anyMatch(endpoint -> endpoint.isReady() && !excluded.contains(endpoint.node()));
                Optional<Endpoint> chosen = balancer.choose(entry, Fixtures.HOBART, excluded);
                assertWithMessage("seed %s", seed).that(chosen.isPresent()).isEqualTo(isPossible);
                chosen.ifPresent(endpoint -> {
                    assertWithMessage("seed %s", seed).that(endpoint.isReady()).isTrue();
                    assertWithMessage("seed %s", seed).that(excluded).doesNotContain(endpoint.node());
                    Attempt attempt = statistics.begin(endpoint);
                    clock.advance(Duration.ofMillis(random.nextInt(300)));
                    if (random.nextInt(4) > 0) {
                        boolean isFailure = random.nextBoolean();
                        statistics.finish(
                                attempt, isFailure ? new AttemptOutcome.Unknown() : new AttemptOutcome.Succeeded());
                    }
                });
            }
        });
    }

    private static List<Endpoint> randomEndpoints(Random random) {
        List<Locality> localities = List.of(Fixtures.HOBART, Fixtures.HUONVILLE, Fixtures.LAUNCESTON);
        List<EndpointState> states = List.of(EndpointState.values());
        return IntStream.range(0, random.nextInt(6))
                .mapToObj(number -> Fixtures.endpoint(
                        "node-" + number,
                        localities.get(random.nextInt(3)),
                        random.nextBoolean() ? EndpointState.READY : states.get(random.nextInt(4))))
                .toList();
    }

    @Test
    void shouldSpillOverByDistanceWhenNearerLevelsAreSaturated() {
        Endpoint near = Fixtures.ready("near", Fixtures.HOBART);
        Endpoint middle = Fixtures.ready("middle", Fixtures.HUONVILLE);
        Endpoint far = Fixtures.ready("far", Fixtures.LAUNCESTON);
        RoutingTable.Entry entry = Fixtures.entry(RequestKind.LOOKUP, List.of(far, middle, near));
        List<Endpoint> chosen = new ArrayList<>();
        for (int request = 0; request < 3 * Fixtures.SLOTS + 1; request++) {
            Endpoint endpoint = choose(entry).orElseThrow();
            statistics.begin(endpoint);
            chosen.add(endpoint);
        }
        assertThat(chosen.subList(0, 10)).containsExactlyElementsIn(java.util.Collections.nCopies(10, near));
        assertThat(chosen.subList(10, 20)).containsExactlyElementsIn(java.util.Collections.nCopies(10, middle));
        assertThat(chosen.subList(20, 30)).containsExactlyElementsIn(java.util.Collections.nCopies(10, far));
        assertThat(chosen.get(30)).isEqualTo(near);
    }

    @Test
    void shouldAvoidAnEndpointWhenItHasJustRefused() {
        RoutingTable.Entry entry = Fixtures.entry(RequestKind.LOOKUP, Fixtures.ready(2, Fixtures.HOBART));
        Endpoint refusing = choose(entry).orElseThrow();
        Attempt attempt = statistics.begin(refusing);
        statistics.finish(attempt, new AttemptOutcome.NotRun(NotRunReason.QUEUE_FULL, Duration.ofMillis(100)));
        for (int round = 0; round < 20; round++) {
            assertThat(choose(entry).orElseThrow()).isNotEqualTo(refusing);
        }
    }

    @Test
    void shouldSendLessToANewEndpointWhenItsPeersAreWarm() {
        List<Endpoint> warm = Fixtures.ready(3, Fixtures.HOBART);
        choose(Fixtures.entry(RequestKind.LOOKUP, warm));
        for (Endpoint endpoint : warm) {
            Attempt attempt = statistics.begin(endpoint);
            clock.advance(Duration.ofMillis(20));
            statistics.finish(attempt, new AttemptOutcome.Succeeded());
        }
        clock.advance(Duration.ofSeconds(20));
        List<Endpoint> all = new ArrayList<>(warm);
        Endpoint added = Fixtures.ready("fresh", Fixtures.HOBART);
        all.add(added);
        RoutingTable.Entry entry = Fixtures.entry(RequestKind.LOOKUP, all);
        int toAdded = 0;
        for (int request = 0; request < 16; request++) {
            Endpoint endpoint = choose(entry).orElseThrow();
            statistics.begin(endpoint);
            toAdded += endpoint.equals(added) ? 1 : 0;
        }
        assertThat(toAdded).isAtMost(1);
    }
}
