package org.oleanderturn.node;

import java.time.Duration;
import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.oleanderturn.distribution.Disseminator;
import org.oleanderturn.distribution.Peer;
import org.oleanderturn.mesh.VersionCheck;
import org.oleanderturn.mesh.VersionStatus;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.node.OperatorConfigurationWatcher.Confirmation;

/**
 * Confirms that a version is the newest in force: by what this node itself reads from the platform's store, or by the word of
 * the relay of its zone.
 *
 * <p>Invariants: a confirmation is never dated later than the store's answer that it comes from; the calls under way at once
 * are bounded, and so is their rate, as a confirmation serves all requests for a while; no call carries the content of a
 * configuration. The store is asked only while requests depend on the answer. Thread safe.
 */
final class VersionConfirmation implements VersionCheck {
    /** For how long a confirmation holds; within the time in which a new version has to be in force. */
    private static final Duration VALIDITY = Duration.ofMillis(1_500);

    /** How long no further confirmation is tried after one failed; clients are told to come back later than that. */
    private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(250);

    private static final int MAXIMUM_CALLS = 4;

    private final Disseminator disseminator;
    private final OperatorConfigurationWatcher watcher;
    private final RelayCheck relayCheck;
    private final LongSupplier clockNanoseconds;
    private final Semaphore permits = new Semaphore(MAXIMUM_CALLS);
    private volatile long notBeforeNanoseconds;

    VersionConfirmation(
            Disseminator disseminator,
            OperatorConfigurationWatcher watcher,
            RelayCheck relayCheck,
            LongSupplier clockNanoseconds) {
        this.disseminator = Objects.requireNonNull(disseminator, "disseminator is null");
        this.watcher = Objects.requireNonNull(watcher, "watcher is null");
        this.relayCheck = Objects.requireNonNull(relayCheck, "relayCheck is null");
        this.clockNanoseconds = Objects.requireNonNull(clockNanoseconds, "clockNanoseconds is null");
        this.notBeforeNanoseconds = clockNanoseconds.getAsLong();
    }

    // -- queries

    @Override
    public VersionStatus check(ConfigurationVersion version) {
        if (confirmation().isEmpty()) {
            confirm();
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
        if (isConfirmationNeeded && recent(watcher.confirmation()).isEmpty()) {
            watcher.confirm();
        }
        ConfigurationVersion held = disseminator.heldVersion();
        long now = clockNanoseconds.getAsLong();
        // Only what this node reads itself, so that the word of nodes with different views never goes round.
        Optional<Long> age = recent(watcher.confirmation())
                .filter(confirmed -> !confirmed.version().isAfter(held))
                .map(confirmed -> TimeUnit.NANOSECONDS.toMillis(now - confirmed.nanoseconds()));
        return new RelayReport(held, watcher.isReading(), age);
    }

    @Override
    public Optional<Duration> confirmationAge() {
        long now = clockNanoseconds.getAsLong();
        return Stream.of(watcher.confirmation(), relayCheck.confirmation())
                .flatMap(Optional::stream)
                .map(confirmed -> Duration.ofNanos(now - confirmed.nanoseconds()))
                .min(Comparator.naturalOrder());
    }

    private Optional<Confirmation> confirmation() {
        return recent(watcher.confirmation()).or(() -> recent(relayCheck.confirmation()));
    }

    private Optional<Confirmation> recent(Optional<Confirmation> confirmation) {
        long oldest = clockNanoseconds.getAsLong() - VALIDITY.toNanos();
        return confirmation.filter(confirmed -> confirmed.nanoseconds() - oldest > 0);
    }

    // -- commands

    private void confirm() {
        Optional<Peer> relay = relayCheck.supplier();
        if (relay.isEmpty()) {
            watcher.confirm();
            return;
        }
        if (clockNanoseconds.getAsLong() - notBeforeNanoseconds < 0 || !permits.tryAcquire()) {
            return;
        }
        try {
            if (!relayCheck.confirm(relay.get())) {
                notBeforeNanoseconds = clockNanoseconds.getAsLong() + PAUSE_AFTER_FAILURE.toNanos();
            }
        } finally {
            permits.release();
        }
    }
}
