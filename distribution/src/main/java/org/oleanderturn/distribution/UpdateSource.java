package org.oleanderturn.distribution;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.LongAdder;
import org.oleanderturn.model.ConfigurationDelta;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;

/**
 * Creates the updates sent to other nodes: a delta if this node still has the snapshot that the other node holds,
 * otherwise the full snapshot, which is rate limited.
 *
 * <p>Thread safe.
 */
public final class UpdateSource {
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
        Optional<ConfigurationDelta> delta = history.delta(held, heldDigest, current);
        if (delta.isPresent()) {
            deltas.increment();
            return new ConfigurationUpdate.Delta(delta.get());
        }
        return snapshot(current, nowMilliseconds);
    }

    /**
     * Returns the first update to push to a peer that probably holds the given version: a delta, or only the version.
     */
    ConfigurationUpdate offer(ConfigurationVersion presumedVersion) {
        ConfigurationSnapshot current = holder.held();
        return history.snapshot(presumedVersion)
                .filter(base -> current.version().isAfter(base.version()))
                .flatMap(base -> history.delta(presumedVersion, base.digest(), current))
                .<ConfigurationUpdate>map(ConfigurationUpdate.Delta::new)
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
        return new ConfigurationUpdate.Snapshot(current);
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
