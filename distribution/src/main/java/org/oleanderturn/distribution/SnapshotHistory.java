package org.oleanderturn.distribution;

import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import org.oleanderturn.model.ConfigurationDelta;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;

/**
 * The most recent snapshots that this node has seen, from which deltas and rebases are computed.
 *
 * <p>Invariant: at most {@link #MAXIMUM_SNAPSHOTS} are kept, the newest ones. Thread safe: the map is copied on write.
 */
public final class SnapshotHistory {
    /** The maximum number of snapshots that are kept. */
    public static final int MAXIMUM_SNAPSHOTS = 16;

    private final AtomicReference<NavigableMap<ConfigurationVersion, ConfigurationSnapshot>> recent =
            new AtomicReference<>(new TreeMap<>(Map.of(ConfigurationVersion.none(), ConfigurationSnapshot.empty())));

    private SnapshotHistory() {}

    /** Returns a history that contains only the empty configuration. */
    public static SnapshotHistory create() {
        return new SnapshotHistory();
    }

    /** Returns a history of the held snapshot and of each one that the holder adopts from now on. */
    public static SnapshotHistory of(ConfigurationHolder holder) {
        Objects.requireNonNull(holder, "holder is null");
        SnapshotHistory history = new SnapshotHistory();
        history.add(holder.held());
        holder.addListener(history::add);
        return history;
    }

    /** Adds a snapshot and drops the oldest ones above {@link #MAXIMUM_SNAPSHOTS}. */
    public void add(ConfigurationSnapshot snapshot) {
        Objects.requireNonNull(snapshot, "snapshot is null");
        recent.updateAndGet(before -> with(before, snapshot));
    }

    /** Returns the snapshot of a version; empty when it is not kept. */
    public Optional<ConfigurationSnapshot> snapshot(ConfigurationVersion version) {
        return Optional.ofNullable(recent.get().get(version));
    }

    /**
     * Returns the delta to a snapshot from the given version and digest; empty when that snapshot is not kept. There is
     * no delta from the empty configuration, because it would be as large as the snapshot.
     */
    public Optional<ConfigurationDelta> delta(ConfigurationVersion from, Digest base, ConfigurationSnapshot to) {
        if (from.equals(ConfigurationVersion.none())) {
            return Optional.empty();
        }
        return snapshot(from)
                .filter(kept -> kept.digest().equals(base))
                .map(kept -> ConfigurationDelta.between(kept, to));
    }

    private static NavigableMap<ConfigurationVersion, ConfigurationSnapshot> with(
            NavigableMap<ConfigurationVersion, ConfigurationSnapshot> before, ConfigurationSnapshot snapshot) {
        NavigableMap<ConfigurationVersion, ConfigurationSnapshot> after = new TreeMap<>(before);
        after.put(snapshot.version(), snapshot);
        while (after.size() > MAXIMUM_SNAPSHOTS) {
            after.pollFirstEntry();
        }
        return after;
    }
}
