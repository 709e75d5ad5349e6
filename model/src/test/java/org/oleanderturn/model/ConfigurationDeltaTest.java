package org.oleanderturn.model;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ConfigurationDeltaTest {
    private static final Service BOOKINGS = Service.of("bookings", 10, 120);
    private static final Service DOCS = Service.of("docs", 10, 120);
    private static final ConfigurationSnapshot FIRST =
            snapshot(1, Configuration.of(List.of(BOOKINGS, DOCS), List.of(), List.of()));
    private static final ConfigurationSnapshot SECOND =
            snapshot(2, Configuration.of(List.of(Service.of("bookings", 12, 120)), List.of(), List.of()));

    @Test
    void shouldYieldTheLaterSnapshotWhenAppliedToItsBase() {
        ConfigurationDelta delta = ConfigurationDelta.between(FIRST, SECOND);

        assertThat(delta.applyTo(FIRST)).isEqualTo(Either.right(SECOND));
        assertThat(delta.removedServices()).containsExactly(DOCS.name());
    }

    @Test
    void shouldListExactlyTheChangedObjectsWhenManyAreAddedReplacedAndRemoved() {
        for (int seed = 0; seed < 50; seed++) {
            Random random = new Random(seed);
            ConfigurationSnapshot before = snapshot(1, services(random));
            ConfigurationSnapshot after = snapshot(2, services(random));
            ConfigurationDelta delta = ConfigurationDelta.between(before, after);

            Set<Service> kept = new HashSet<>(before.configuration().services());
            assertThat(delta.changed().services())
                    .containsExactlyElementsIn(after.configuration().services().stream()
                            .filter(service -> !kept.contains(service))
                            .toList())
                    .inOrder();
            assertThat(delta.applyTo(before)).isEqualTo(Either.right(after));
        }
    }

    @Test
    void shouldReportAMismatchWhenTheBaseDiffers() {
        ConfigurationDelta delta = ConfigurationDelta.between(FIRST, SECOND);

        assertThat(delta.applyTo(SECOND).getLeft()).isInstanceOf(ConfigurationDelta.Mismatch.OtherBase.class);
    }

    @Test
    void shouldReachTheSameOrganisationsWhenTheyAreAddedChangedAndRemoved() {
        Configuration without = FIRST.configuration();
        Configuration two = without.withOrganisations(
                Optional.of(List.of(organisation("first", "key-1"), organisation("second", "key-2"))));
        Configuration one = without.withOrganisations(Optional.of(List.of(organisation("first", "key-3"))));
        Configuration none = without.withOrganisations(Optional.of(List.of()));
        List<Configuration> versions = List.of(without, two, one, none, two, without);
        for (int version = 1; version < versions.size(); version++) {
            ConfigurationSnapshot before = snapshot(version, versions.get(version - 1));
            ConfigurationSnapshot after = snapshot(version + 1, versions.get(version));
            assertThat(ConfigurationDelta.between(before, after).applyTo(before))
                    .isEqualTo(Either.right(after));
        }
    }

    private static Organisation organisation(String name, String key) {
        return Organisation.of(OrganisationName.of(name), List.of(KeyDigest.ofKey(key)));
    }

    @Test
    void shouldReportAMismatchWhenTheResultHasAnotherDigest() {
        ConfigurationDelta delta = ConfigurationDelta.between(FIRST, SECOND);
        ConfigurationDelta corrupted = new ConfigurationDelta(
                delta.from(),
                delta.base(),
                delta.to(),
                Digest.of("forged"),
                delta.changed(),
                delta.removedServices(),
                delta.removedRoutes(),
                delta.removedTrafficPolicies(),
                Optional.empty());

        assertThat(corrupted.applyTo(FIRST).getLeft()).isInstanceOf(ConfigurationDelta.Mismatch.OtherResult.class);
    }

    @Test
    void shouldDecodeToTheSameDeltaWhenCompressed() {
        ConfigurationDelta delta = ConfigurationDelta.between(FIRST, SECOND);
        byte[] bytes = Codec.messagePack().encodeCompressed(delta);

        assertThat(Codec.messagePack().decodeCompressed(bytes, ConfigurationDelta.class))
                .isEqualTo(Either.right(delta));
    }

    @Test
    void shouldDecodeToTheSameProposalWhenAComponentIsBoolean() {
        Proposal proposal = new Proposal(ProposalId.of("first"), Optional.empty(), true, FIRST.configuration());
        byte[] bytes = Codec.json().encode(proposal);

        assertThat(new String(bytes, StandardCharsets.UTF_8)).contains("\"isRebaseAllowed\":true");
        assertThat(Codec.json().decode(bytes, Proposal.class)).isEqualTo(Either.right(proposal));
    }

    @Test
    void shouldReportThePathWhenAValueInJsonIsMalformed() {
        byte[] bytes = "{\"services\":[{\"name\":\"Bad Name\"}],\"routes\":[],\"trafficPolicies\":[]}"
                .getBytes(StandardCharsets.UTF_8);

        assertThat(Codec.json().decode(bytes, Configuration.class).getLeft().path())
                .startsWith("services[0]");
    }

    private static Configuration services(Random random) {
        List<Service> services = IntStream.range(0, 40)
                .filter(_ -> random.nextInt(3) > 0)
                .mapToObj(number -> Service.of("service-" + number, 1 + random.nextInt(2), 120))
                .toList();
        return Configuration.of(services, List.of(), List.of());
    }

    private static ConfigurationSnapshot snapshot(long version, Configuration configuration) {
        return ConfigurationSnapshot.of(ConfigurationVersion.of(version), configuration);
    }
}
