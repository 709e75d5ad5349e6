package org.oleanderturn.testbed;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.ConfigurationDelta;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;

/** Checks the verdicts, summaries and reports of benchmark results, and the fleet that experiments run on. */
final class BenchRowTest {

    private static BenchRow row(BenchBound bound, Double... values) {
        return BenchRow.of("time", "ms", BenchSamples.of(List.of(values))).withBound(bound);
    }

    @Test
    void shouldBreakTheBoundWhenOneSampleIsOutsideIt() {
        assertThat(row(BenchBound.atMost(10), 1.0, 2.0, 10.5).verdict()).isEqualTo(BenchVerdict.BROKEN);
        assertThat(row(BenchBound.atLeast(10), 9.5, 20.0, 30.0).verdict()).isEqualTo(BenchVerdict.BROKEN);
    }

    @Test
    void shouldMeetTheBoundWhenEverySampleIsWithinIt() {
        assertThat(row(BenchBound.atMost(10), 10.0, 2.0).verdict()).isEqualTo(BenchVerdict.MET);
        assertThat(row(BenchBound.atLeast(10), 10.0, 20.0).verdict()).isEqualTo(BenchVerdict.MET);
    }

    @Test
    void shouldReturnTheMedianWhenSamplesDiffer() {
        assertThat(BenchSamples.of(List.of(9.0, 1.0, 2.0))).isEqualTo(new BenchSamples(2, 1, 9, 3));
        assertThat(BenchSamples.of(List.of(4.0, 1.0)).median()).isEqualTo(2.5);
    }

    @Test
    void shouldFitTheLineWhenAllPointsLieOnIt() {
        BenchLinearFit line = BenchLinearFit.of(Map.of(10, 25.0, 20, 45.0, 40, 85.0));
        assertThat(line.slope()).isWithin(1e-9).of(2);
        assertThat(line.valueAt(1_100)).isWithin(1e-6).of(2_205);
    }

    @Test
    void shouldWriteTheVerdictWhenABoundIsBroken() {
        BenchReport report =
                new BenchReport("name", "shows", "2026-01-01T00:00:00Z", 1, List.of(row(BenchBound.atMost(1), 2.0)));
        assertThat(report.isBroken()).isTrue();
        assertThat(BenchTable.write(report)).contains("BROKEN");
        assertThat(BenchPage.write(report)).contains("&lt;= 1.00");
        assertThat(new String(Codec.json().encode(report), StandardCharsets.UTF_8))
                .contains("\"verdict\":\"BROKEN\"");
    }

    @Test
    void shouldChangeOneServiceWhenTheNextConfigurationIsCreated() {
        ConfigurationSnapshot before =
                ConfigurationSnapshot.of(ConfigurationVersion.of(1), BenchConfiguration.after(7));
        ConfigurationSnapshot after = ConfigurationSnapshot.of(ConfigurationVersion.of(2), BenchConfiguration.after(8));
        ConfigurationDelta delta = ConfigurationDelta.between(before, after);
        assertThat(before.configuration().services()).hasSize(BenchConfiguration.SERVICES);
        assertThat(delta.changed().services()).hasSize(1);
    }

    @Test
    void shouldDistributeAChangeToEveryNodeWhenAFleetRuns() {
        try (BenchFleet fleet = BenchFleet.start(4, 2)) {
            ConfigurationVersion accepted = fleet.proposeChange(3);
            boolean isHeld = BenchClock.await(15_000, () -> fleet.isHeldBy(fleet.nodes(), accepted));
            assertThat(isHeld).isTrue();
        }
    }
}
