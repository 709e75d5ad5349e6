package org.oleanderturn.distribution;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationDelta;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationValidator;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RoutingTable;
import org.oleanderturn.model.Service;

class ConfigurationHolderTest {
    private static final VersionOrigin PEER = new VersionOrigin.Push(Address.of("127.0.0.1", 1));

    private final ConfigurationHolder holder = ConfigurationHolder.empty();

    @Test
    void shouldKeepTheNewerVersionWhenAnOlderOneArrivesLater() {
        ConfigurationDelta delta = ConfigurationDelta.between(Samples.snapshot(1), Samples.snapshot(2));
        holder.adopt(Samples.snapshot(1));
        holder.adopt(Samples.snapshot(3));

        assertThat(holder.adopt(delta, PEER))
                .isEqualTo(new AdoptionResult.Older(ConfigurationVersion.of(2), ConfigurationVersion.of(3)));
        assertThat(holder.adopt(Samples.snapshot(2))).isInstanceOf(AdoptionResult.Older.class);
        assertThat(holder.held()).isEqualTo(Samples.snapshot(3));
    }

    @Test
    void shouldHoldASnapshotOnlyAfterItsPreparations() {
        List<ConfigurationVersion> heldMeanwhile = new ArrayList<>();
        holder.addPreparation(_ -> heldMeanwhile.add(holder.version()));
        holder.adopt(Samples.snapshot(1));
        holder.adopt(Samples.snapshot(2));
        assertThat(heldMeanwhile)
                .containsExactly(ConfigurationVersion.none(), ConfigurationVersion.of(1))
                .inOrder();
    }

    @Test
    void shouldKeepTheHeldSnapshotWhenAPreparationThrows() {
        holder.adopt(Samples.snapshot(1));
        holder.addPreparation(_ -> {
            throw new IllegalStateException("no routes");
        });
        assertThrows(IllegalStateException.class, () -> holder.adopt(Samples.snapshot(2)));
        assertThat(holder.held()).isEqualTo(Samples.snapshot(1));
    }

    @Test
    void shouldRejectTheDeltaWhenItsDigestDoesNotMatch() {
        ConfigurationDelta delta = ConfigurationDelta.between(Samples.snapshot(1), Samples.snapshot(2));
        ConfigurationDelta corrupted = new ConfigurationDelta(
                delta.from(),
                delta.base(),
                delta.to(),
                Digest.of("corrupted"),
                delta.changed(),
                List.of(),
                List.of(),
                List.of(),
                Optional.empty());
        holder.adopt(Samples.snapshot(1));

        assertThat(holder.adopt(corrupted, PEER)).isInstanceOf(AdoptionResult.Rejected.class);
        assertThat(holder.held()).isEqualTo(Samples.snapshot(1));
        assertThat(holder.status().rejected()).isEqualTo(1);
    }

    @Test
    void shouldRejectTheWholeConfigurationWhenOneServiceInAHundredIsInvalid() {
        Configuration valid = Samples.manyServices(100);
        List<Service> services = new ArrayList<>(valid.services());
        services.set(50, new Service(services.get(50).name(), -1, 120));
        ConfigurationSnapshot invalid = ConfigurationSnapshot.of(
                ConfigurationVersion.of(2), Configuration.of(services, valid.routes(), valid.trafficPolicies()));
        ConfigurationSnapshot first = ConfigurationSnapshot.of(ConfigurationVersion.of(1), valid);
        holder.adopt(first);

        assertThat(holder.adopt(invalid)).isInstanceOf(AdoptionResult.Rejected.class);
        assertThat(holder.adopt(ConfigurationDelta.between(first, invalid), PEER))
                .isInstanceOf(AdoptionResult.Rejected.class);
        assertThat(holder.held()).isEqualTo(first);
        assertThat(holder.status().lastRejected().orElseThrow().offered()).isEqualTo(invalid.version());
    }

    @Test
    void shouldRejectTheSnapshotWhenItsDigestDoesNotMatch() {
        ConfigurationSnapshot corrupted = new ConfigurationSnapshot(
                ConfigurationVersion.of(1),
                Samples.services(1, 1),
                Samples.snapshot(1).digest());

        assertThat(holder.adopt(corrupted)).isInstanceOf(AdoptionResult.Rejected.class);
        assertThat(holder.version()).isEqualTo(ConfigurationVersion.none());
    }

    @Test
    void shouldRejectTheSnapshotWhenTheHeldVersionHasOtherContent() {
        holder.adopt(Samples.snapshot(1));
        AdoptionResult adoption =
                holder.adopt(ConfigurationSnapshot.of(ConfigurationVersion.of(1), Samples.services(99, 99)));

        assertThat(((AdoptionResult.Rejected) adoption).rejection())
                .isInstanceOf(AdoptionResult.Rejection.OtherContent.class);
    }

    @Test
    void shouldCallListenersInOrderWhenAListenerAdoptsAnotherSnapshot() {
        List<ConfigurationVersion> notified = new ArrayList<>();
        holder.addListener(snapshot -> holder.adopt(Samples.snapshot(2)));
        holder.addListener(snapshot -> notified.add(snapshot.version()));

        holder.adopt(Samples.snapshot(1));

        assertThat(notified).isInStrictOrder();
        assertThat(notified).hasSize(2);
    }

    @Test
    void shouldCallListenersInOrderWhenThreadsAdoptConcurrently() {
        List<ConfigurationVersion> notified = new ArrayList<>();
        holder.addListener(snapshot -> notified.add(snapshot.version()));
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int version = 1; version <= 200; version++) {
                ConfigurationSnapshot offered = Samples.snapshot(version);
                executor.execute(() -> holder.adopt(offered));
            }
        }

        assertThat(notified).isInStrictOrder();
        assertThat(notified.getLast()).isEqualTo(ConfigurationVersion.of(200));
        assertThat(holder.version()).isEqualTo(ConfigurationVersion.of(200));
    }

    @Test
    void shouldCallTheOtherListenersWhenOneThrows() {
        List<ConfigurationVersion> notified = new ArrayList<>();
        holder.addListener(_ -> {
            throw new IllegalStateException("listener fails");
        });
        holder.addListener(snapshot -> notified.add(snapshot.version()));

        holder.adopt(Samples.snapshot(1));

        assertThat(notified).containsExactly(ConfigurationVersion.of(1));
    }

    /** A service and its route are removed and added again, while the snapshots and deltas arrive in any order. */
    @Test
    void shouldNeverHoldARouteWithoutItsServiceWhenUpdatesArriveInAnyOrder() {
        List<ConfigurationSnapshot> history = removedAndAddedAgain();
        FaultMatrix.cell(
                "spread", "adopt", "REORDERED", "no route without its service; version never decreases", () -> {
                    for (long seed = 0; seed < 500; seed++) {
                        deliverAll(ConfigurationHolder.empty(), history, seed);
                    }
                });
    }

    private static void deliverAll(ConfigurationHolder fresh, List<ConfigurationSnapshot> history, long seed) {
        List<Runnable> updates = new ArrayList<>();
        for (ConfigurationSnapshot from : history) {
            updates.add(() -> fresh.adopt(from));
            for (ConfigurationSnapshot to : history) {
                updates.add(() -> fresh.adopt(ConfigurationDelta.between(from, to), PEER));
            }
        }
        Collections.shuffle(updates, new Random(seed));
        ConfigurationVersion previous = ConfigurationVersion.none();
        for (Runnable update : updates) {
            update.run();
            ConfigurationSnapshot held = fresh.held();
            RoutingTable table = RoutingTable.of(held, EndpointView.empty());
            assertWithMessage("seed %s", seed).that(held.version()).isAtLeast(previous);
            assertThat(ConfigurationValidator.validate(held.configuration())).isEmpty();
            assertThat(table.entries()).hasSize(held.configuration().routes().size());
            previous = held.version();
        }
        assertThat(fresh.held()).isEqualTo(history.getLast());
    }

    private static List<ConfigurationSnapshot> removedAndAddedAgain() {
        Configuration twoServices = Samples.manyServices(2);
        List<Service> oneService = List.of(twoServices.services().getFirst());
        List<Route> oneRoute = List.of(Samples.route("service-0"));
        List<Configuration> steps = List.of(
                twoServices,
                Configuration.of(twoServices.services(), oneRoute, twoServices.trafficPolicies()),
                Configuration.of(oneService, oneRoute, twoServices.trafficPolicies()),
                Configuration.of(twoServices.services(), oneRoute, twoServices.trafficPolicies()),
                twoServices);
        List<ConfigurationSnapshot> history = new ArrayList<>();
        for (Configuration step : steps) {
            history.add(ConfigurationSnapshot.of(ConfigurationVersion.of(history.size() + 1), step));
        }
        return history;
    }
}
