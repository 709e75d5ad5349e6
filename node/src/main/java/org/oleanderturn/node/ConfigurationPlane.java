package org.oleanderturn.node;

import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.distribution.ConfigurationHolder;
import org.oleanderturn.distribution.ConfigurationTransport;
import org.oleanderturn.distribution.Disseminator;
import org.oleanderturn.distribution.ObservedTransport;
import org.oleanderturn.distribution.PeerDirectory;
import org.oleanderturn.distribution.ReadinessGate;
import org.oleanderturn.distribution.RelayRole;
import org.oleanderturn.distribution.SnapshotHistory;
import org.oleanderturn.distribution.UpdateSource;
import org.oleanderturn.distribution.VersionListener;
import org.oleanderturn.model.ConfigurationVersion;

/**
 * The versions of the configuration at a node: the one it holds, their exchange with other nodes, and its readiness.
 *
 * <p>Invariant: the components are created once and never replaced. Thread safe.
 */
final class ConfigurationPlane {
    private static final long DISSEMINATION_INTERVAL_MILLISECONDS = 100;

    /** Recovery has nothing to do once the node is ready, so its task then runs rarely. */
    private static final long READY_CHECK_INTERVAL_MILLISECONDS = 10_000;

    private static final long RECOVERY_INTERVAL_MILLISECONDS = 100;

    private final ConfigurationHolder holder;
    private final ReadinessGate readinessGate = ReadinessGate.create();
    private final SnapshotHistory history;
    private final Disseminator disseminator;
    private final Recovery recovery;
    private final LongSupplier milliseconds;

    ConfigurationPlane(
            NodeSettings settings,
            PeerDirectory directory,
            RelayRole role,
            ConfigurationTransport transport,
            VersionReportTransport reportTransport,
            Executor executor,
            BooleanSupplier hasAttemptedJoin,
            VersionListener versionListener,
            LongSupplier milliseconds,
            RandomGenerator random) {
        this.milliseconds = Objects.requireNonNull(milliseconds, "milliseconds is null");
        this.holder = ConfigurationHolder.empty(versionListener, milliseconds);
        this.history = SnapshotHistory.of(holder);
        this.disseminator = Disseminator.of(
                holder,
                UpdateSource.of(holder, history),
                ObservedTransport.of(transport, versionListener, milliseconds),
                directory,
                role,
                settings.locality(),
                settings.platformRegion(),
                executor,
                split(random));
        this.recovery = new Recovery(
                settings.node(),
                settings.locality(),
                directory,
                holder,
                readinessGate,
                disseminator,
                reportTransport,
                hasAttemptedJoin,
                split(random));
    }

    // -- components

    ConfigurationHolder holder() {
        return holder;
    }

    ReadinessGate readinessGate() {
        return readinessGate;
    }

    SnapshotHistory history() {
        return history;
    }

    Disseminator disseminator() {
        return disseminator;
    }

    Recovery recovery() {
        return recovery;
    }

    // -- commands

    /**
     * Starts the periodic tasks.
     *
     * @param onAdopted is told each version that the node adopts; must not block
     * @param onReady runs once, when the node becomes ready
     */
    void start(TaskRunner tasks, Consumer<ConfigurationVersion> onAdopted, Runnable onReady) {
        holder.addListener(snapshot -> {
            onAdopted.accept(snapshot.version());
            tasks.executor().execute(() -> disseminator.disseminate(milliseconds.getAsLong()));
        });
        tasks.runEvery(DISSEMINATION_INTERVAL_MILLISECONDS, () -> disseminator.tick(milliseconds.getAsLong()));
        tasks.runRepeatedly(() -> {
            if (recovery.step()) {
                onReady.run();
            }
            return recovery.isReady() ? READY_CHECK_INTERVAL_MILLISECONDS : RECOVERY_INTERVAL_MILLISECONDS;
        });
    }

    private static RandomGenerator split(RandomGenerator random) {
        return new SplittableRandom(random.nextLong());
    }
}
