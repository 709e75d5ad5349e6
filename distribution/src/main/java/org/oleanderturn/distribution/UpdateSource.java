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
 * Makes the updates that other nodes are sent: a delta where this node knows what they hold, else the snapshot, which is
 * rationed.
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

    /** Returns the source of updates to what a holder holds. */
    public static UpdateSource of(ConfigurationHolder holder, SnapshotHistory history) {
        Objects.requireNonNull(holder, "holder is null");
        Objects.requireNonNull(history, "history is null");
        return new UpdateSource(holder, history);
    }

    /** Returns the update for a node that holds the given version and digest. */
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

    /** Returns the first message to a node that is thought to hold a version: a delta, or only the number. */
    ConfigurationUpdate offer(ConfigurationVersion thoughtHeld) {
        ConfigurationSnapshot current = holder.held();
        return history.snapshot(thoughtHeld)
                .filter(base -> current.version().isAfter(base.version()))
                .flatMap(base -> history.delta(thoughtHeld, base.digest(), current))
                .<ConfigurationUpdate>map(ConfigurationUpdate.Delta::new)
                .orElseGet(() -> new ConfigurationUpdate.Current(current.version()));
    }

    /** Returns the whole snapshot, or when to ask for it. */
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

    /** Returns how many deltas were served on request. */
    public long deltas() {
        return deltas.sum();
    }

    /** Returns how many snapshots were served. */
    public long snapshots() {
        return snapshots.sum();
    }

    /** Returns how many snapshots were put off. */
    public long refusals() {
        return refusals.sum();
    }
}
