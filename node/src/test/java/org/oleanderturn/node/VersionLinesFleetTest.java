package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oleanderturn.platform.FakeOperator;

/** The lines by which an operator finds why a request was denied. */
final class VersionLinesFleetTest {
    private static final int SIZE = 3;

    @Test
    void shouldTellFromWhomEachNodeTookAVersionAndByWhichARequestWasDenied() throws IOException {
        try (MeshFleet fleet = MeshFleet.start(SIZE)) {
            FakeOperator.configure(fleet.store(), 2, "orders", 2);
            MeshFleet.await(() -> adoptions(fleet, 2).size() == SIZE);
            assertThat(adoptions(fleet, 2).stream().anyMatch(line -> line.contains("\"origin\":\"store\"")))
                    .isTrue();
            assertThat(fleet.status(0, "/none/1")).isEqualTo(404);
            MeshFleet.await(() -> denials(fleet).size() == 1);
            String denial = denials(fleet).getFirst();
            assertThat(denial).contains("\"configuration\":2,");
            assertThat(denial).contains("\"newest\":2,");
            assertThat(denial).contains("\"behindMilliseconds\":0,");
            assertThat(denial).containsMatch("\"confirmedMilliseconds\":\\d{1,4},");
            String metrics = fleet.metrics(0);
            assertThat(metrics).contains("oleanderturn_own_responses_total{reason=\"NO_ROUTE\",status=\"404\"} 1.0\n");
            assertThat(metrics).contains("oleanderturn_configuration_newest_version 2.0\n");
            assertThat(IntStream.range(0, SIZE)
                            .anyMatch(host -> fleet.metrics(host).contains("oleanderturn_relay 1.0\n")))
                    .isTrue();
        }
    }

    private static List<String> adoptions(MeshFleet fleet, int version) {
        return lines(fleet, "VersionAdopted").stream()
                .filter(line -> line.contains("\"configuration\":" + version + ","))
                .toList();
    }

    private static List<String> denials(MeshFleet fleet) {
        return lines(fleet, "Answered").stream()
                .filter(line -> line.contains("\"reason\":\"NO_ROUTE\""))
                .toList();
    }

    private static List<String> lines(MeshFleet fleet, String event) {
        return fleet.log().stream()
                .filter(line -> line.contains("\"event\":\"" + event + "\""))
                .toList();
    }
}
