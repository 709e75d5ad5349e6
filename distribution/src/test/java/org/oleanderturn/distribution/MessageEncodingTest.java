package org.oleanderturn.distribution;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationDelta;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Service;

class MessageEncodingTest {
    private static final ConfigurationVersion VERSION = ConfigurationVersion.of(2);

    static Stream<ConfigurationUpdate> updates() {
        return Stream.of(
                new ConfigurationUpdate.Current(VERSION),
                new ConfigurationUpdate.Delta(ConfigurationDelta.between(Samples.snapshot(1), Samples.snapshot(2))),
                new ConfigurationUpdate.Snapshot(Samples.snapshot(2)),
                new ConfigurationUpdate.Busy(500));
    }

    static Stream<PushResponse> responses() {
        return Stream.of(
                new PushResponse.Adopted(VERSION),
                new PushResponse.AlreadyHeld(VERSION),
                new PushResponse.Behind(VERSION, Samples.snapshot(2).digest()),
                new PushResponse.Rejected(VERSION));
    }

    @ParameterizedTest
    @MethodSource("updates")
    void shouldDecodeToTheSameUpdateWhenEncoded(ConfigurationUpdate update) {
        byte[] bytes = Codec.messagePack().encode(update);

        assertThat(Codec.messagePack().decode(bytes, ConfigurationUpdate.class)).isEqualTo(Either.right(update));
    }

    @ParameterizedTest
    @MethodSource("responses")
    void shouldDecodeToTheSameResponseWhenEncoded(PushResponse response) {
        byte[] bytes = Codec.messagePack().encode(response);

        assertThat(Codec.messagePack().decode(bytes, PushResponse.class)).isEqualTo(Either.right(response));
    }

    @Test
    void shouldEncodeASmallDeltaWhenOneOfManyServicesChanges() {
        Configuration before = Samples.manyServices(170);
        List<Service> services = new ArrayList<>(before.services());
        services.set(0, new Service(services.getFirst().name(), 99, 120));
        Configuration after = Configuration.of(services, before.routes(), before.trafficPolicies());
        ConfigurationSnapshot from = ConfigurationSnapshot.of(ConfigurationVersion.of(1), before);
        ConfigurationSnapshot to = ConfigurationSnapshot.of(VERSION, after);

        int versionOnly = sizeOf(new ConfigurationUpdate.Current(VERSION));
        int delta = sizeOf(new ConfigurationUpdate.Delta(ConfigurationDelta.between(from, to)));
        int snapshot = sizeOf(new ConfigurationUpdate.Snapshot(to));

        System.out.printf("version only %d, delta %d, snapshot %d bytes%n", versionOnly, delta, snapshot);
        assertThat(versionOnly).isLessThan(100);
        assertThat(delta).isLessThan(1_000);
        assertThat(delta).isLessThan(snapshot / 20);
    }

    private static int sizeOf(ConfigurationUpdate update) {
        return Codec.messagePack().encode(update).length;
    }

    @Test
    void shouldDecodeToTheSameValueWhenItIsAReportOrAStatus() {
        PeerVersionReport report = new PeerVersionReport(NodeId.of("first"), true, VERSION, VERSION);
        Readiness readiness = new Readiness.Asking(List.of(NodeId.of("first")));
        HeadStatus status = new HeadStatus.StoreBehind(VERSION, VERSION);

        assertThat(Codec.messagePack().decode(Codec.messagePack().encode(report), PeerVersionReport.class))
                .isEqualTo(Either.right(report));
        assertThat(Codec.json().decode(Codec.json().encode(readiness), Readiness.class))
                .isEqualTo(Either.right(readiness));
        assertThat(Codec.json().decode(Codec.json().encode(status), HeadStatus.class))
                .isEqualTo(Either.right(status));
    }

    @Test
    void shouldDecodeToTheSameStatusWhenItContainsARejection() {
        ConfigurationHolder holder = ConfigurationHolder.empty();
        holder.adopt(Samples.snapshot(1));
        holder.adopt(ConfigurationSnapshot.of(ConfigurationVersion.of(1), Samples.services(9, 9)));
        AdoptionStatus status = holder.status();

        assertThat(Codec.json().decode(Codec.json().encode(status), AdoptionStatus.class))
                .isEqualTo(Either.right(status));
    }
}
