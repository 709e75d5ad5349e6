package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.oleanderturn.distribution.ConfigurationHolder;
import org.oleanderturn.distribution.ConfigurationTransport;
import org.oleanderturn.distribution.ConfigurationUpdate;
import org.oleanderturn.distribution.ObservedTransport;
import org.oleanderturn.distribution.PeerFailure;
import org.oleanderturn.distribution.PushResponse;
import org.oleanderturn.distribution.VersionEvent;
import org.oleanderturn.distribution.VersionOrigin;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationDelta;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Service;

final class VersionJournalTest {
    private static final long CLOSE_TIMEOUT_MILLISECONDS = 10_000;
    private static final Address FIRST_PEER = Address.of("127.0.0.1", 1);
    private static final Address SECOND_PEER = Address.of("127.0.0.1", 2);
    private static final ConfigurationVersion FIRST = ConfigurationVersion.of(1);
    private static final ConfigurationVersion SECOND = ConfigurationVersion.of(2);

    private final AtomicLong clock = new AtomicLong(1_000);
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final LogWriter writer = LogWriter.start(output);
    private final NodeMetrics metrics = new NodeMetrics();
    private final VersionJournal journal = new VersionJournal(
            NodeId.of("node"), writer, metrics, address -> "peer-" + address.port(), clock::get, clock::get);
    private final ConfigurationHolder holder = ConfigurationHolder.empty(journal, clock::get);

    @Test
    void shouldWriteWhereAVersionCameFromWhenItIsAdopted() {
        holder.addListener(_ -> clock.addAndGet(40));
        holder.adopt(snapshot(1));
        hear(FIRST_PEER, 2);
        clock.addAndGet(300);
        holder.adopt(delta(1, 2), new VersionOrigin.Push(SECOND_PEER));
        holder.adopt(snapshot(4), new VersionOrigin.Fetch(FIRST_PEER));
        assertThat(writtenLines())
                .containsExactly(
                        "{\"before\":0,\"configuration\":1,\"event\":\"VersionAdopted\",\"form\":\"snapshot\","
                                + "\"heardFrom\":\"store\",\"heardMilliseconds\":40,\"heardVersion\":1,\"newest\":1,"
                                + "\"node\":\"node\",\"origin\":\"store\",\"takenMilliseconds\":40,\"time\":1040}",
                        "{\"before\":1,\"configuration\":2,\"event\":\"VersionAdopted\",\"form\":\"delta\","
                                + "\"heardFrom\":\"advertisement peer-1\",\"heardMilliseconds\":340,\"heardVersion\":2,"
                                + "\"newest\":2,\"node\":\"node\",\"origin\":\"push\",\"peer\":\"peer-2\","
                                + "\"takenMilliseconds\":40,\"time\":1380}",
                        "{\"before\":2,\"configuration\":4,\"event\":\"VersionAdopted\",\"form\":\"snapshot\","
                                + "\"heardFrom\":\"fetch peer-1\",\"heardMilliseconds\":40,\"heardVersion\":4,"
                                + "\"newest\":4,\"node\":\"node\",\"origin\":\"fetch\",\"peer\":\"peer-1\","
                                + "\"takenMilliseconds\":40,\"time\":1420}")
                .inOrder();
    }

    @Test
    void shouldWriteTheFirstNewsOfANewerVersionWhenAnIntermediateOneIsAdopted() {
        hear(FIRST_PEER, 3);
        clock.addAndGet(200);
        hear(SECOND_PEER, 2);
        clock.addAndGet(100);
        holder.adopt(snapshot(2), new VersionOrigin.Push(SECOND_PEER));
        assertThat(writtenLines())
                .containsExactly("{\"before\":0,\"configuration\":2,\"event\":\"VersionAdopted\",\"form\":\"snapshot\","
                        + "\"heardFrom\":\"advertisement peer-1\",\"heardMilliseconds\":300,\"heardVersion\":3,"
                        + "\"newest\":3,\"node\":\"node\",\"origin\":\"push\",\"peer\":\"peer-2\","
                        + "\"takenMilliseconds\":0,\"time\":1300}");
    }

    @Test
    void shouldWriteTheReasonWhenAVersionIsRejected() {
        ConfigurationSnapshot valid = snapshot(2);
        holder.adopt(
                new ConfigurationSnapshot(SECOND, valid.configuration(), Digest.of("other")),
                new VersionOrigin.Push(FIRST_PEER));
        assertThat(writtenLines())
                .containsExactly("{\"configuration\":2,\"detail\":\"NotIntact[stated=other]\","
                        + "\"event\":\"VersionRejected\",\"form\":\"snapshot\",\"node\":\"node\","
                        + "\"origin\":\"push\",\"peer\":\"peer-1\",\"reason\":\"NotIntact\",\"time\":1000}");
    }

    @Test
    void shouldWriteOneLineASecondOfEachKindWhenTransfersFail() {
        FailingTransport failing = new FailingTransport(clock);
        ObservedTransport transport = ObservedTransport.of(failing, journal, clock::get);
        ConfigurationUpdate update = new ConfigurationUpdate.Delta(delta(1, 2));
        for (int attempt = 0; attempt < 3; attempt++) {
            assertThat(transport.push(FIRST_PEER, update).isLeft()).isTrue();
        }
        assertThat(transport.fetch(SECOND_PEER, FIRST, Digest.of("")).isLeft()).isTrue();
        clock.addAndGet(1_000);
        assertThat(transport.push(FIRST_PEER, update).isLeft()).isTrue();
        failing.isBusy = true;
        assertThat(transport.fetch(SECOND_PEER, FIRST, Digest.of("")).isRight()).isTrue();
        assertThat(writtenLines())
                .containsExactly(
                        "{\"configuration\":2,\"event\":\"TransferFailed\",\"leftOut\":0,\"node\":\"node\","
                                + "\"peer\":\"peer-1\",\"reason\":\"TimedOut\",\"takenMilliseconds\":10,\"time\":1010,"
                                + "\"transfer\":\"push\"}",
                        "{\"configuration\":1,\"detail\":\"refused\",\"event\":\"TransferFailed\","
                                + "\"leftOut\":0,\"node\":\"node\",\"peer\":\"peer-2\",\"reason\":\"Unreachable\","
                                + "\"takenMilliseconds\":10,\"time\":1040,\"transfer\":\"fetch\"}",
                        "{\"configuration\":2,\"event\":\"TransferFailed\",\"leftOut\":2,\"node\":\"node\","
                                + "\"peer\":\"peer-1\",\"reason\":\"TimedOut\",\"takenMilliseconds\":10,\"time\":2050,"
                                + "\"transfer\":\"push\"}",
                        "{\"configuration\":1,\"event\":\"FetchDeferred\",\"leftOut\":0,\"node\":\"node\","
                                + "\"peer\":\"peer-2\",\"retryAfterMilliseconds\":700,\"time\":2060}")
                .inOrder();
    }

    @Test
    void shouldShowHowFarTheNodeIsBehindWhenItKnowsOfANewerVersion() {
        holder.record(new VersionEvent.StoreRead());
        holder.adopt(snapshot(1));
        hear(FIRST_PEER, 3);
        clock.addAndGet(2_500);
        assertThat(metrics.text()).contains("oleanderturn_configuration_newest_version 3.0\n");
        assertThat(metrics.text()).contains("oleanderturn_configuration_behind_seconds 2.5\n");
        assertThat(metrics.text()).contains("oleanderturn_configuration_store_read_age_seconds 2.5\n");
        holder.adopt(snapshot(3), new VersionOrigin.Fetch(FIRST_PEER));
        assertThat(metrics.text()).contains("oleanderturn_configuration_behind_seconds 0.0\n");
    }

    @Test
    void shouldCountTheEventsByKind() {
        holder.adopt(snapshot(1));
        holder.adopt(delta(1, 2), new VersionOrigin.Push(FIRST_PEER));
        hear(FIRST_PEER, 3);
        clock.addAndGet(700);
        holder.adopt(snapshot(3), new VersionOrigin.Fetch(FIRST_PEER));
        holder.adopt(
                new ConfigurationSnapshot(
                        ConfigurationVersion.of(4), snapshot(4).configuration(), Digest.of("other")),
                new VersionOrigin.Push(FIRST_PEER));
        ObservedTransport transport = ObservedTransport.of(new FailingTransport(clock), journal, clock::get);
        assertThat(transport.fetch(SECOND_PEER, FIRST, Digest.of("")).isLeft()).isTrue();
        List<String> lines = metrics.text().lines().toList();
        assertThat(lines)
                .containsAtLeast(
                        "oleanderturn_configuration_adoptions_total{form=\"snapshot\",origin=\"store\"} 1.0",
                        "oleanderturn_configuration_adoptions_total{form=\"delta\",origin=\"push\"} 1.0",
                        "oleanderturn_configuration_adoptions_total{form=\"snapshot\",origin=\"fetch\"} 1.0",
                        "oleanderturn_configuration_rejections_total{reason=\"NotIntact\"} 1.0",
                        "oleanderturn_configuration_failed_transfers_total{reason=\"Unreachable\",transfer=\"fetch\"} 1.0",
                        "oleanderturn_configuration_adoption_delay_seconds_bucket{le=\"0.5\"} 2",
                        "oleanderturn_configuration_adoption_delay_seconds_bucket{le=\"1.0\"} 3");
    }

    // -- helpers

    private void hear(Address peer, long version) {
        holder.record(new VersionEvent.Heard(new VersionOrigin.Advertisement(peer), ConfigurationVersion.of(version)));
    }

    private List<String> writtenLines() {
        writer.close(CLOSE_TIMEOUT_MILLISECONDS);
        return output.toString(StandardCharsets.UTF_8).lines().toList();
    }

    private static ConfigurationSnapshot snapshot(int version) {
        Configuration configuration =
                Configuration.of(List.of(Service.of("bookings", version, 120)), List.of(), List.of());
        return ConfigurationSnapshot.of(ConfigurationVersion.of(version), configuration);
    }

    private static ConfigurationDelta delta(int from, int to) {
        return ConfigurationDelta.between(snapshot(from), snapshot(to));
    }

    /** A transport whose calls take 10 ms and fail, or are put off. Used by one thread. */
    private static final class FailingTransport implements ConfigurationTransport {
        private final AtomicLong clock;
        private boolean isBusy;

        FailingTransport(AtomicLong clock) {
            this.clock = clock;
        }

        @Override
        public Either<PeerFailure, ConfigurationUpdate> fetch(
                Address peer, ConfigurationVersion held, Digest heldDigest) {
            clock.addAndGet(10);
            return isBusy
                    ? Either.right(new ConfigurationUpdate.Busy(700))
                    : Either.left(new PeerFailure.Unreachable("refused"));
        }

        @Override
        public Either<PeerFailure, PushResponse> push(Address peer, ConfigurationUpdate update) {
            clock.addAndGet(10);
            return Either.left(new PeerFailure.TimedOut());
        }
    }
}
