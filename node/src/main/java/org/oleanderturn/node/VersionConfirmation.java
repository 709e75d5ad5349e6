package org.oleanderturn.node;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.oleanderturn.distribution.Disseminator;
import org.oleanderturn.distribution.Peer;
import org.oleanderturn.mesh.VersionCheck;
import org.oleanderturn.mesh.VersionStatus;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.platform.OperatorConfiguration;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;

/**
 * Confirms with the relay of the zone, or with the platform's store, that a version is the newest in force.
 *
 * <p>Invariants: a confirmation is never dated later than the request to the store that it comes from; the calls under way
 * at once are bounded, and so is the rate of calls to the store, as a confirmation serves all requests for a while. Thread
 * safe.
 */
final class VersionConfirmation implements VersionCheck {
    /** For how long a confirmation holds; within the time in which a new version has to be in force. */
    private static final Duration VALIDITY = Duration.ofSeconds(1);

    /** How long no further confirmation is tried after one failed; clients are told to come back later than that. */
    private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(250);

    private static final int MAXIMUM_CALLS = 4;

    /** A version that was the newest at a time. */
    private record Confirmation(ConfigurationVersion version, long nanoseconds) {}

    private final Store store;
    private final Disseminator disseminator;
    private final OperatorConfigurationWatcher watcher;
    private final RelayCheck relayCheck;
    private final RelayTransport transport;
    private final LongSupplier clockNanoseconds;
    private final Semaphore permits = new Semaphore(MAXIMUM_CALLS);
    private final AtomicReference<Optional<Confirmation>> last = new AtomicReference<>(Optional.empty());
    private volatile long notBeforeNanoseconds;

    VersionConfirmation(
            Store store,
            Disseminator disseminator,
            OperatorConfigurationWatcher watcher,
            RelayCheck relayCheck,
            RelayTransport transport,
            LongSupplier clockNanoseconds) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.disseminator = Objects.requireNonNull(disseminator, "disseminator is null");
        this.watcher = Objects.requireNonNull(watcher, "watcher is null");
        this.relayCheck = Objects.requireNonNull(relayCheck, "relayCheck is null");
        this.transport = Objects.requireNonNull(transport, "transport is null");
        this.clockNanoseconds = Objects.requireNonNull(clockNanoseconds, "clockNanoseconds is null");
        this.notBeforeNanoseconds = clockNanoseconds.getAsLong();
    }

    // -- queries

    @Override
    public VersionStatus check(ConfigurationVersion version) {
        if (confirmation().isEmpty()) {
            confirm(relayCheck.supplier());
        }
        ConfigurationVersion newestKnown = disseminator.newestKnown();
        if (newestKnown.isAfter(version)) {
            return new VersionStatus.Behind(newestKnown);
        }
        boolean isNewest = confirmation()
                .filter(confirmed -> !confirmed.version().isAfter(version))
                .isPresent();
        return isNewest ? new VersionStatus.Newest() : new VersionStatus.Unconfirmed();
    }

    /** Answers a node of this node's zone. */
    RelayReport report(boolean isConfirmationNeeded) {
        if (isConfirmationNeeded && confirmation().isEmpty()) {
            // Not forwarded to another relay, so that nodes with different views never ask each other in turn.
            confirm(Optional.empty());
        }
        ConfigurationVersion held = disseminator.heldVersion();
        long now = clockNanoseconds.getAsLong();
        Optional<Long> age = confirmation()
                .filter(confirmed -> !confirmed.version().isAfter(held))
                .map(confirmed -> TimeUnit.NANOSECONDS.toMillis(now - confirmed.nanoseconds()));
        return new RelayReport(held, watcher.isReading(), age);
    }

    private Optional<Confirmation> confirmation() {
        long oldest = clockNanoseconds.getAsLong() - VALIDITY.toNanos();
        return last.get().filter(confirmed -> confirmed.nanoseconds() - oldest > 0);
    }

    // -- commands

    private void confirm(Optional<Peer> relay) {
        if (clockNanoseconds.getAsLong() - notBeforeNanoseconds < 0 || !permits.tryAcquire()) {
            return;
        }
        try {
            boolean isConfirmed = relay.filter(this::confirmByRelay).isPresent() || confirmByStore();
            if (!isConfirmed) {
                notBeforeNanoseconds = clockNanoseconds.getAsLong() + PAUSE_AFTER_FAILURE.toNanos();
            }
        } finally {
            permits.release();
        }
    }

    private boolean confirmByRelay(Peer relay) {
        long asked = clockNanoseconds.getAsLong();
        Either<ControlFailure, RelayReport> report = transport.askRelay(relay.address(), true);
        if (report.isLeft()) {
            return false;
        }
        disseminator.recordAdvertisedVersion(relay.address(), report.get().held());
        Optional<Long> age = report.get().confirmationAgeMilliseconds();
        age.ifPresent(milliseconds -> record(report.get().held(), asked - TimeUnit.MILLISECONDS.toNanos(milliseconds)));
        return age.isPresent();
    }

    private boolean confirmByStore() {
        Optional<OperatorConfigurationWatcher.ReadVersion> read = watcher.lastRead();
        if (read.isEmpty()) {
            return false;
        }
        long asked = clockNanoseconds.getAsLong();
        Either<StoreFailure, Boolean> unchanged =
                store.isUnchanged(OperatorConfiguration.KEY, read.get().revision());
        if (!unchanged.getOrElse(false)) {
            return false;
        }
        record(read.get().version(), asked);
        return true;
    }

    private void record(ConfigurationVersion version, long nanoseconds) {
        last.updateAndGet(before -> before.filter(known -> known.nanoseconds() - nanoseconds > 0)
                .or(() -> Optional.of(new Confirmation(version, nanoseconds))));
    }
}
