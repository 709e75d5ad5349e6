package org.oleanderturn.node;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.distribution.Peer;
import org.oleanderturn.distribution.PeerDirectory;
import org.oleanderturn.distribution.RelayRole;
import org.oleanderturn.mesh.RouteIndex;
import org.oleanderturn.mesh.VersionCheck;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.store.Store;
import org.oleanderturn.traffic.Pause;

/**
 * The configuration by which a node of the users' platform serves: read from the platform's store by the relay of each
 * zone, and passed on from node to node.
 *
 * <p>Invariant: the routes are never older than the version that the node says it holds. Thread safe.
 */
final class MeshConfiguration {
    private final ConfigurationPlane plane;
    private final OperatorConfigurationWatcher watcher;
    private final RelayCheck relayCheck;
    private final VersionConfirmation confirmation;
    private final AtomicReference<RouteIndex> routes = new AtomicReference<>(RouteIndex.empty());

    MeshConfiguration(
            NodeSettings settings,
            ConfigurationPlane plane,
            PeerDirectory directory,
            RelayRole role,
            Store store,
            RelayTransport transport,
            BooleanSupplier isFleetRunning,
            LongSupplier clockNanoseconds,
            Pause pause,
            RandomGenerator random) {
        this.plane = Objects.requireNonNull(plane, "plane is null");
        plane.holder().addPreparation(snapshot -> routes.set(RouteIndex.of(snapshot)));
        ZoneLeadership leadership = ZoneLeadership.of(settings.node(), settings.locality(), directory);
        this.relayCheck = new RelayCheck(
                leadership, transport, plane.disseminator(), this::hasReadStore, this::heldRoutes, clockNanoseconds);
        this.watcher = new OperatorConfigurationWatcher(
                store,
                plane.holder(),
                plane.readinessGate(),
                role,
                isFleetRunning,
                () -> directory.peers().stream().anyMatch(Peer::isReachable),
                relayCheck::isSupplied,
                clockNanoseconds,
                pause,
                random);
        this.confirmation = new VersionConfirmation(plane.disseminator(), watcher, relayCheck, clockNanoseconds);
    }

    // -- queries

    /** Returns the index of the routes in force. */
    RouteIndex routes() {
        return routes.get();
    }

    /** Returns whether the node has a configuration that it may serve by. */
    boolean isServing() {
        return plane.recovery().isReady() && !routes.get().isEmpty();
    }

    OperatorConfigurationWatcher watcher() {
        return watcher;
    }

    /** Returns the check whether a version is the newest in force. */
    VersionCheck versionCheck() {
        return confirmation;
    }

    /** Returns how long ago a version was last confirmed as the newest; empty before the first time. */
    Optional<Duration> confirmationAge() {
        return confirmation.confirmationAge();
    }

    private int heldRoutes() {
        return plane.holder().held().configuration().routes().size();
    }

    private boolean hasReadStore() {
        return watcher.confirmation().isPresent();
    }

    /** Answers a node that asks this one as the relay of its zone. */
    ControlMessage answer(ControlMessage.AskRelay question) {
        return new ControlMessage.RelayAnswer(confirmation.report(question.isConfirmationNeeded()));
    }

    // -- commands

    /**
     * Starts the periodic tasks.
     *
     * @param onAdopted is told each version that the node adopts; must not block
     * @param onRoutesChanged is called after the routes and keys have changed; must not block
     */
    void start(TaskRunner tasks, Consumer<ConfigurationVersion> onAdopted, Runnable onRoutesChanged) {
        plane.holder().addListener(_ -> onRoutesChanged.run());
        plane.start(tasks, onAdopted, () -> {});
        tasks.runRepeatedly(watcher::runOnce);
        tasks.runRepeatedly(relayCheck::runOnce);
    }
}
