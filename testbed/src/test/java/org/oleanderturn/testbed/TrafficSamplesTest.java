package org.oleanderturn.testbed;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class TrafficSamplesTest {
    private static final long MILLISECOND = 1_000_000;

    private final TrafficSamples samples = new TrafficSamples(List.of(
            new TrafficSample(0, 5 * MILLISECOND, TrafficSample.Outcome.ANSWERED),
            new TrafficSample(10 * MILLISECOND, 50 * MILLISECOND, TrafficSample.Outcome.ANSWERED),
            new TrafficSample(20 * MILLISECOND, MILLISECOND, TrafficSample.Outcome.REFUSED),
            new TrafficSample(30 * MILLISECOND, MILLISECOND, TrafficSample.Outcome.LOST)));

    @Test
    void shouldCountOnlyTimelyAnswersWhenATimeoutIsGiven() {
        assertThat(samples.answeredWithin(5).count()).isEqualTo(1);
        assertThat(samples.answeredWithin(50).count()).isEqualTo(2);
        assertThat(samples.answeredWithin(50).percentOf(samples)).isEqualTo(50.0);
    }

    @Test
    void shouldExcludeTheEndWhenAnIntervalIsSelected() {
        assertThat(samples.dueBetween(10, 30).count()).isEqualTo(2);
    }

    @Test
    void shouldReturnTheLongestLatencyWhenAHighPercentileIsRequested() {
        assertThat(samples.latencyPercentile(99)).isWithin(0.1).of(50);
        assertThat(new TrafficSamples(List.of()).latencyPercentile(99)).isEqualTo(0.0);
    }

    @Test
    void shouldCountTheWholeTimeoutWhenARequestIsNotAnswered() {
        TrafficSamples counted = samples.withUnansweredLatencyAtLeast(2_000);
        assertThat(counted.latencyPercentile(99)).isWithin(2).of(2_000);
        assertThat(counted.filter(TrafficSample.Outcome.ANSWERED).latencyPercentile(99))
                .isWithin(0.1)
                .of(50);
    }

    @Test
    void shouldSumAllocationsBetweenCollectionsWhenReadingsAreCompared() {
        TwoHopProcess.ResourceUse before = new TwoHopProcess.ResourceUse(Duration.ZERO, List.of(new int[] {20, 8}));
        TwoHopProcess.ResourceUse after = new TwoHopProcess.ResourceUse(
                Duration.ZERO, List.of(new int[] {20, 8}, new int[] {21, 9}, new int[] {22, 9}));
        assertThat(after.allocatedMegabytesSince(before)).isEqualTo(26.0);
        assertThat(after.heapMegabytes()).isEqualTo(9.0);
    }
}
