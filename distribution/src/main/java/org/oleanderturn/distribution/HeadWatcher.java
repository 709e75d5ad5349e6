package org.oleanderturn.distribution;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.Region;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;

/**
 * Adopts new heads from the platform's store. A relay watches the head; a node of another region that reaches no node
 * of the platform's region reads the head occasionally; all other nodes make no calls.
 *
 * <p>Commands are called from one thread at a time; {@link #status} is thread safe.
 */
public final class HeadWatcher {
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(10);
    private static final long WATCH_PAUSE_MILLISECONDS = 200;
    private static final long IDLE_PAUSE_MILLISECONDS = 1_000;
    private static final long FALLBACK_INTERVAL_MILLISECONDS = 20_000;
    private static final long BACKOFF_BASE_MILLISECONDS = 500;
    private static final long BACKOFF_CAP_MILLISECONDS = 30_000;

    private final Store store;
    private final RelayRole role;
    private final ConfigurationHolder holder;
    private final ReadinessGate gate;
    private final Locality locality;
    private final Region platformRegion;
    private final PeerDirectory directory;
    private final RandomGenerator random;
    private final Backoff backoff;
    private final AtomicReference<HeadStatus> status = new AtomicReference<>(new HeadStatus.NotRead());
    private Optional<Long> seenRevision = Optional.empty();
    private long nextFallbackMilliseconds;

    private HeadWatcher(
            Store store,
            RelayRole role,
            ConfigurationHolder holder,
            ReadinessGate gate,
            Locality locality,
            Region platformRegion,
            PeerDirectory directory,
            RandomGenerator random) {
        this.store = store;
        this.role = role;
        this.holder = holder;
        this.gate = gate;
        this.locality = locality;
        this.platformRegion = platformRegion;
        this.directory = directory;
        this.random = random;
        this.backoff = Backoff.of(random, BACKOFF_BASE_MILLISECONDS, BACKOFF_CAP_MILLISECONDS);
    }

    /**
     * Returns a watcher that offers each head to the given holder and reports its version to the given readiness gate.
     */
    public static HeadWatcher of(
            Store store,
            RelayRole role,
            ConfigurationHolder holder,
            ReadinessGate gate,
            Locality locality,
            Region platformRegion,
            PeerDirectory directory,
            RandomGenerator random) {
        Objects.requireNonNull(store, "store is null");
        Objects.requireNonNull(role, "role is null");
        Objects.requireNonNull(holder, "holder is null");
        Objects.requireNonNull(gate, "gate is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(platformRegion, "platformRegion is null");
        Objects.requireNonNull(directory, "directory is null");
        Objects.requireNonNull(random, "random is null");
        return new HeadWatcher(store, role, holder, gate, locality, platformRegion, directory, random);
    }

    // -- queries

    /** Returns the result of the last read of the head. */
    public HeadStatus status() {
        return status.get();
    }

    // -- commands

    /**
     * Makes at most one call to the store and adopts the head if it is newer. On a relay, blocks until the watch
     * times out or the head changes.
     *
     * @return the delay before the next run, in milliseconds
     */
    public long runOnce(long nowMilliseconds) {
        if (role.isRelay(nowMilliseconds)) {
            return watch();
        }
        seenRevision = Optional.empty();
        if (isFallbackDue(nowMilliseconds)) {
            return handleResult(StoredHead.read(store).map(Optional::of), IDLE_PAUSE_MILLISECONDS);
        }
        return IDLE_PAUSE_MILLISECONDS;
    }

    private long watch() {
        if (seenRevision.isEmpty()) {
            return handleResult(StoredHead.read(store).map(Optional::of), WATCH_PAUSE_MILLISECONDS);
        }
        Either<StoreFailure, Optional<StoredValue>> changed =
                store.watch(ConfigurationHead.KEY, seenRevision.get(), WATCH_TIMEOUT);
        return handleResult(changed.flatMap(HeadWatcher::toStoredHead), WATCH_PAUSE_MILLISECONDS);
    }

    private static Either<StoreFailure, Optional<StoredHead>> toStoredHead(Optional<StoredValue> stored) {
        return stored.isEmpty()
                ? Either.right(Optional.empty())
                : StoredHead.of(stored).map(Optional::of);
    }

    private long handleResult(Either<StoreFailure, Optional<StoredHead>> read, long pauseMilliseconds) {
        if (read.isLeft()) {
            status.set(new HeadStatus.Unavailable(read.getLeft().toString()));
            return backoff.nextDelayMilliseconds();
        }
        backoff.reset();
        read.get().ifPresent(this::adoptHead);
        return pauseMilliseconds;
    }

    private void adoptHead(StoredHead stored) {
        ConfigurationHead head = stored.head();
        seenRevision = Optional.of(stored.revision());
        gate.observeHead(head.version());
        AdoptionResult result = holder.adopt(head.snapshot());
        status.set(
                switch (result) {
                    case AdoptionResult.Adopted _, AdoptionResult.AlreadyHeld _ ->
                        new HeadStatus.InStep(head.version());
                    case AdoptionResult.Older older -> new HeadStatus.StoreBehind(head.version(), older.held());
                    case AdoptionResult.OtherBase _, AdoptionResult.Rejected _ ->
                        new HeadStatus.HeadRejected(head.version(), holder.version());
                });
    }

    /** On average one node of a zone reads the head in each interval, however many nodes the zone has. */
    private boolean isFallbackDue(long nowMilliseconds) {
        if (locality.region().equals(platformRegion) || nowMilliseconds < nextFallbackMilliseconds) {
            return false;
        }
        nextFallbackMilliseconds = nowMilliseconds + Backoff.jittered(random, FALLBACK_INTERVAL_MILLISECONDS);
        boolean isPlatformRegionReachable = directory.peers().stream()
                .anyMatch(peer -> peer.isReachable() && peer.locality().region().equals(platformRegion));
        if (isPlatformRegionReachable) {
            return false;
        }
        long otherNodesInZone = directory.peers().stream()
                .filter(peer -> peer.isReachable() && peer.locality().equals(locality))
                .count();
        return random.nextLong(otherNodesInZone + 1) == 0;
    }
}
