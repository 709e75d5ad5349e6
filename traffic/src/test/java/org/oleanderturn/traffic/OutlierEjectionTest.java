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
        for (int time = 0; time < times; time++) {
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
    void shouldEjectAfterARunOfFailuresAndBringBackAfterATrial() {
        choose();
        Endpoint failing = endpoints.getFirst();
        fail(failing, 5);
        assertThat(ejected()).isEqualTo(1);
        for (int round = 0; round < 50; round++) {
            assertThat(choose()).isNotEqualTo(failing);
        }
        clock.advance(Duration.ofSeconds(1));
        Attempt trial = statistics.begin(failing);
        assertWithMessage("one request at a time on trial").that(ejected()).isEqualTo(1);
        statistics.finish(trial, new AttemptOutcome.Succeeded());
        assertThat(ejected()).isEqualTo(0);
    }

    @Test
    void shouldDoubleTheTimeWhenTheTrialFails() {
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
    void shouldEjectHalfAtMostWhenAllFail() {
        choose();
        endpoints.forEach(endpoint -> fail(endpoint, 20));
        assertThat(ejected()).isEqualTo(3);
        assertThat(choose()).isNotNull();
    }

    @Test
    void shouldNeverEjectTheOnlyEndpoint() {
        RoutingTable.Entry single = Fixtures.entry(RequestKind.LOOKUP, endpoints.subList(0, 1));
        balancer.choose(single, Fixtures.HOBART, Set.of());
        fail(endpoints.getFirst(), 50);
        assertThat(ejected()).isEqualTo(0);
    }

    @Test
    void shouldEjectTheUpstreamThatLagsBehindTheMedian() {
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
    void shouldNotCountARefusalAsAFailure() {
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
    void shouldTellTheStrategiesApart() {
        UpstreamMetrics mixed = UpstreamMetrics.empty(0);
        UpstreamMetrics run = UpstreamMetrics.empty(0);
        for (int answer = 0; answer < 20; answer++) {
            mixed = answer % 2 == 0 ? mixed.withFailure(answer) : mixed.withSuccess(1, answer);
        }
        for (int answer = 0; answer < 5; answer++) {
            run = run.withFailure(answer);
        }
        EjectionStrategy.ConsecutiveFailures byRun = new EjectionStrategy.ConsecutiveFailures(5);
        EjectionStrategy.FailureRate byShare = new EjectionStrategy.FailureRate(50, 10);
        assertThat(byRun.isFailing(mixed)).isFalse();
        assertThat(byRun.isFailing(run)).isTrue();
        assertThat(byShare.isFailing(mixed)).isTrue();
        assertThat(byShare.isFailing(run)).isFalse();
        EjectionStrategy both = new EjectionStrategy.ConsecutiveOrRate(byRun, byShare);
        assertThat(both.isFailing(mixed) && both.isFailing(run)).isTrue();
    }
}
