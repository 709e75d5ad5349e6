package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.RoutingTable;

final class OutlierEjectionTest {
    private static final Duration FAST = Duration.ofMillis(2);
    private static final Duration SLOW = Duration.ofMillis(50);
    private final FakeClock clock = new FakeClock();
    private final OutlierEjection ejection = OutlierEjection.of(EjectionSettings.defaults());
    private final UpstreamStatistics statistics = UpstreamStatistics.of(ejection, clock);
    private final TwoChoicesBalancer balancer = TwoChoicesBalancer.of(statistics, ejection, clock, new Random(11));
    private final List<Endpoint> endpoints = Fixtures.ready(6, Fixtures.HOBART);
    private final RoutingTable.Entry entry = Fixtures.entry(RequestKind.LOOKUP, endpoints);

    private void attempt(Endpoint endpoint, Duration latency, AttemptOutcome outcome) {
        Attempt attempt = statistics.begin(endpoint);
        clock.advance(latency);
        statistics.finish(attempt, outcome);
        statistics.finish(attempt, outcome);
    }

    private void fail(Endpoint endpoint, int times) {
        for (int failure = 0; failure < times; failure++) {
            attempt(endpoint, FAST, new AttemptOutcome.Failed());
        }
    }

    private Endpoint choose() {
        return balancer.choose(entry, Fixtures.HOBART, Set.of()).orElseThrow();
    }

    private long ejected() {
        return statistics.reports(entry.service().name()).stream()
                .filter(UpstreamReport::isEjected)
                .count();
    }

    @Test
    void shouldEjectAfterConsecutiveFailuresAndRestoreWhenARequestSucceedsOnProbation() {
        choose();
        Endpoint failing = endpoints.getFirst();
        fail(failing, 5);
        assertThat(ejected()).isEqualTo(1);
        for (int round = 0; round < 50; round++) {
            assertThat(choose()).isNotEqualTo(failing);
        }
        clock.advance(Duration.ofSeconds(1));
        Attempt probe = statistics.begin(failing);
        assertWithMessage("one request at a time on probation").that(ejected()).isEqualTo(1);
        statistics.finish(probe, new AttemptOutcome.Succeeded());
        assertThat(ejected()).isEqualTo(0);
    }

    @Test
    void shouldDoubleTheDurationWhenARequestFailsOnProbation() {
        choose();
        fail(endpoints.getFirst(), 5);
        clock.advance(Duration.ofSeconds(1));
        fail(endpoints.getFirst(), 1);
        clock.advance(Duration.ofMillis(1900));
        assertThat(ejected()).isEqualTo(1);
        clock.advance(Duration.ofMillis(200));
        assertThat(ejected()).isEqualTo(0);
    }

    @Test
    void shouldEjectAtMostHalfWhenAllFail() {
        choose();
        endpoints.forEach(endpoint -> fail(endpoint, 20));
        assertThat(ejected()).isEqualTo(3);
        assertThat(choose()).isNotNull();
    }

    @Test
    void shouldNotEjectTheOnlyEndpointWhenItFails() {
        RoutingTable.Entry single = Fixtures.entry(RequestKind.LOOKUP, endpoints.subList(0, 1));
        balancer.choose(single, Fixtures.HOBART, Set.of());
        fail(endpoints.getFirst(), 50);
        assertThat(ejected()).isEqualTo(0);
    }

    @Test
    void shouldEjectAnUpstreamWhenItsLatencyIsFarAboveTheMedian() {
        choose();
        for (int round = 0; round < 20; round++) {
            for (Endpoint endpoint : endpoints) {
                boolean isSlow = endpoint.equals(endpoints.getFirst());
                attempt(endpoint, isSlow ? SLOW : FAST, new AttemptOutcome.Succeeded());
            }
        }
        assertThat(ejected()).isEqualTo(1);
    }

    @Test
    void shouldNotCountARefusalAsAFailureWhenTheQueueIsFull() {
        choose();
        for (int round = 0; round < 20; round++) {
            attempt(
                    endpoints.getFirst(),
                    FAST,
                    new AttemptOutcome.NotRun(NotRunReason.QUEUE_FULL, Duration.ofMillis(20)));
        }
        assertThat(ejected()).isEqualTo(0);
    }

    @Test
    void shouldDetectDifferentFailuresWhenStrategiesDiffer() {
        UpstreamMetrics mixed = UpstreamMetrics.empty(0);
        UpstreamMetrics consecutive = UpstreamMetrics.empty(0);
        for (int response = 0; response < 20; response++) {
            mixed = response % 2 == 0 ? mixed.withFailure(response) : mixed.withSuccess(1, response);
        }
        for (int response = 0; response < 5; response++) {
            consecutive = consecutive.withFailure(response);
        }
        EjectionStrategy.ConsecutiveFailures byCount = new EjectionStrategy.ConsecutiveFailures(5);
        EjectionStrategy.FailureRate byRate = new EjectionStrategy.FailureRate(50, 10);
        assertThat(byCount.isFailing(mixed)).isFalse();
        assertThat(byCount.isFailing(consecutive)).isTrue();
        assertThat(byRate.isFailing(mixed)).isTrue();
        assertThat(byRate.isFailing(consecutive)).isFalse();
        EjectionStrategy combined = new EjectionStrategy.ConsecutiveOrRate(byCount, byRate);
        assertThat(combined.isFailing(mixed) && combined.isFailing(consecutive)).isTrue();
    }
}
