package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oleanderturn.platform.FakeOperator;

/** The lines by which an operator finds why a request was denied. */
final class VersionLinesFleetTest {
    /** One more than there are zones, so that one node is supplied by another. */
    private static final int SIZE = 5;

    @Test
    void shouldTellFromWhomEachNodeTookAVersionAndByWhichARequestWasDenied() throws IOException {
        try (MeshFleet fleet = MeshFleet.start(SIZE)) {
            // Ends the reads of the store that nodes began before they knew of a relay in their zone.
            FakeOperator.configure(fleet.store(), 2, "orders", 2);
            MeshFleet.await(() -> adoptions(fleet, 2).size() == SIZE);
            FakeOperator.configure(fleet.store(), 3, "orders", 3);
            MeshFleet.await(() -> adoptions(fleet, 3).size() == SIZE);
            assertThat(adoptions(fleet, 3).stream().anyMatch(line -> line.contains("\"origin\":\"store\"")))
                    .isTrue();
            assertThat(adoptions(fleet, 3).stream().anyMatch(line -> line.contains("\"peer\":\"node-")))
                    .isTrue();
            MeshFleet.await(() -> fleet.status(0, "/none/1") == 404);
            MeshFleet.await(() -> !denials(fleet).isEmpty());
            String denial = denials(fleet).getFirst();
            assertThat(denial).contains("\"configuration\":3,");
            assertThat(denial).contains("\"newest\":3,");
            assertThat(denial).contains("\"behindMilliseconds\":0,");
            assertThat(denial).containsMatch("\"confirmedMilliseconds\":\\d{1,4},");
            String metrics = fleet.metrics(0);
            assertThat(metrics).contains("oleanderturn_own_responses_total{reason=\"NO_ROUTE\",status=\"404\"} 1.0\n");
            assertThat(metrics).contains("oleanderturn_configuration_newest_version 3.0\n");
            assertThat(metrics).containsMatch("oleanderturn_configuration_sent_bytes_total [1-9]");
            assertThat(metrics).containsMatch("oleanderturn_configuration_received_bytes_total [1-9]");
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
