package org.oleanderturn.distribution;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;

/**
 * Creates the updates sent to other nodes: a delta if this node still has the snapshot that the other node holds,
 * otherwise the full snapshot, which is rate limited.
 *
 * <p>Invariant: as long as the held version stays the same, all peers that hold the same version get the same update object,
 * so that it is computed, and can be encoded, once. Thread safe.
 */
public final class UpdateSource {
    /** A delta of more objects is pushed only to peers that say they lack it; several peers may push to the same one. */
    private static final int MAXIMUM_UNASKED_OBJECTS = 64;

    private final AtomicReference<Updates> updates = new AtomicReference<>(new Updates(ConfigurationSnapshot.empty()));
    private final ConfigurationHolder holder;
    private final SnapshotHistory history;
    private final SnapshotRateLimiter rateLimiter = new SnapshotRateLimiter();
    private final LongAdder deltas = new LongAdder();
    private final LongAdder snapshots = new LongAdder();
    private final LongAdder refusals = new LongAdder();

    private UpdateSource(ConfigurationHolder holder, SnapshotHistory history) {
        this.holder = holder;
        this.history = history;
    }

    /** Returns a source of updates to the version that the given holder holds. */
    public static UpdateSource of(ConfigurationHolder holder, SnapshotHistory history) {
        Objects.requireNonNull(holder, "holder is null");
        Objects.requireNonNull(history, "history is null");
        return new UpdateSource(holder, history);
    }

    /**
     * Returns the update for a node that holds the given version and digest. {@link ConfigurationUpdate.Busy} means
     * that the rate limit for snapshots is reached.
     */
    public ConfigurationUpdate serve(ConfigurationVersion held, Digest heldDigest, long nowMilliseconds) {
        Objects.requireNonNull(held, "held is null");
        Objects.requireNonNull(heldDigest, "heldDigest is null");
        ConfigurationSnapshot current = holder.held();
        if (!current.version().isAfter(held)) {
            return new ConfigurationUpdate.Current(current.version());
        }
        Optional<ConfigurationUpdate.Delta> delta = delta(held, heldDigest, current);
        if (delta.isPresent()) {
            deltas.increment();
            return delta.get();
        }
        return snapshot(current, nowMilliseconds);
    }

    /**
     * Returns the first update to push to a peer that probably holds the given version: a small delta, or only the version.
     */
    ConfigurationUpdate offer(ConfigurationVersion presumedVersion) {
        ConfigurationSnapshot current = holder.held();
        return history.snapshot(presumedVersion)
                .filter(base -> current.version().isAfter(base.version()))
                .flatMap(base -> delta(presumedVersion, base.digest(), current))
                .filter(delta -> delta.delta().objects() <= MAXIMUM_UNASKED_OBJECTS)
                .<ConfigurationUpdate>map(delta -> delta)
                .orElseGet(() -> new ConfigurationUpdate.Current(current.version()));
    }

    /** Returns the full snapshot, or {@link ConfigurationUpdate.Busy} when the rate limit is reached. */
    ConfigurationUpdate snapshot(ConfigurationSnapshot current, long nowMilliseconds) {
        OptionalLong wait = rateLimiter.tryAcquire(nowMilliseconds);
        if (wait.isPresent()) {
            refusals.increment();
            return new ConfigurationUpdate.Busy(wait.getAsLong());
        }
        snapshots.increment();
        return updatesTo(current).snapshot;
    }

    private Optional<ConfigurationUpdate.Delta> delta(
            ConfigurationVersion held, Digest heldDigest, ConfigurationSnapshot current) {
        ConfigurationUpdate.Delta delta = updatesTo(current)
                .deltas
                .computeIfAbsent(
                        heldDigest,
                        base -> history.delta(held, base, current)
                                .map(ConfigurationUpdate.Delta::new)
                                .orElse(null));
        return Optional.ofNullable(delta).filter(known -> known.delta().from().equals(held));
    }

    private Updates updatesTo(ConfigurationSnapshot current) {
        return updates.updateAndGet(known -> known.isTo(current) ? known : new Updates(current));
    }

    /** The updates to one snapshot, by the digest of what they apply to; at most one for each version of the history. */
    private static final class Updates {
        private final ConfigurationUpdate.Snapshot snapshot;
        private final ConcurrentHashMap<Digest, ConfigurationUpdate.Delta> deltas = new ConcurrentHashMap<>();

        private Updates(ConfigurationSnapshot snapshot) {
            this.snapshot = new ConfigurationUpdate.Snapshot(snapshot);
        }

        private boolean isTo(ConfigurationSnapshot current) {
            ConfigurationSnapshot known = snapshot.snapshot();
            return known.version().equals(current.version()) && known.digest().equals(current.digest());
        }
    }

    // -- queries

    /** Returns the number of deltas served by {@link #serve}. */
    public long deltas() {
        return deltas.sum();
    }

    /** Returns the number of snapshots served. */
    public long snapshots() {
        return snapshots.sum();
    }

    /** Returns the number of snapshots refused because of the rate limit. */
    public long refusals() {
        return refusals.sum();
    }
}
