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

    static Stream<PushResponse> answers() {
        return Stream.of(
                new PushResponse.Adopted(VERSION),
                new PushResponse.AlreadyHeld(VERSION),
                new PushResponse.Behind(VERSION, Samples.snapshot(2).digest()),
                new PushResponse.Rejected(VERSION));
    }

    @ParameterizedTest
    @MethodSource("updates")
    void shouldSurviveEncodingWhenItIsAnUpdate(ConfigurationUpdate update) {
        byte[] bytes = Codec.messagePack().encode(update);

        assertThat(Codec.messagePack().decode(bytes, ConfigurationUpdate.class)).isEqualTo(Either.right(update));
    }

    @ParameterizedTest
    @MethodSource("answers")
    void shouldSurviveEncodingWhenItIsAnAnswer(PushResponse answer) {
        byte[] bytes = Codec.messagePack().encode(answer);

        assertThat(Codec.messagePack().decode(bytes, PushResponse.class)).isEqualTo(Either.right(answer));
    }

    @Test
    void shouldBeSmallWhenOneOfManyServicesChanges() {
        Configuration before = Samples.manyServices(170);
        List<Service> services = new ArrayList<>(before.services());
        services.set(0, new Service(services.getFirst().name(), 99, 120));
        Configuration after = Configuration.of(services, before.routes(), before.trafficPolicies());
        ConfigurationSnapshot from = ConfigurationSnapshot.of(ConfigurationVersion.of(1), before);
        ConfigurationSnapshot to = ConfigurationSnapshot.of(VERSION, after);

        int number = sizeOf(new ConfigurationUpdate.Current(VERSION));
        int delta = sizeOf(new ConfigurationUpdate.Delta(ConfigurationDelta.between(from, to)));
        int snapshot = sizeOf(new ConfigurationUpdate.Snapshot(to));

        System.out.printf("number %d, delta %d, snapshot %d bytes%n", number, delta, snapshot);
        assertThat(number).isLessThan(100);
        assertThat(delta).isLessThan(1_000);
        assertThat(delta).isLessThan(snapshot / 20);
    }

    private static int sizeOf(ConfigurationUpdate update) {
        return Codec.messagePack().encode(update).length;
    }

    @Test
    void shouldSurviveEncodingWhenItIsARecollectionOrAStatus() {
        PeerVersionReport recollection = new PeerVersionReport(NodeId.of("first"), true, VERSION, VERSION);
        Readiness readiness = new Readiness.Asking(List.of(NodeId.of("first")));
        HeadStatus status = new HeadStatus.StoreBehind(VERSION, VERSION);

        assertThat(Codec.messagePack().decode(Codec.messagePack().encode(recollection), PeerVersionReport.class))
                .isEqualTo(Either.right(recollection));
        assertThat(Codec.json().decode(Codec.json().encode(readiness), Readiness.class))
                .isEqualTo(Either.right(readiness));
        assertThat(Codec.json().decode(Codec.json().encode(status), HeadStatus.class))
                .isEqualTo(Either.right(status));
    }

    @Test
    void shouldSurviveEncodingWhenARejectionIsInTheStateDump() {
        ConfigurationHolder holder = ConfigurationHolder.empty();
        holder.adopt(Samples.snapshot(1));
        holder.adopt(ConfigurationSnapshot.of(ConfigurationVersion.of(1), Samples.services(9, 9)));
        AdoptionStatus status = holder.status();

        assertThat(Codec.json().decode(Codec.json().encode(status), AdoptionStatus.class))
                .isEqualTo(Either.right(status));
    }
}
