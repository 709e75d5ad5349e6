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
 * The last few snapshots that this node saw, from which deltas and rebases are made.
 *
 * <p>Invariant: at most {@link #MAXIMUM_SNAPSHOTS} are kept, the newest ones. Thread safe: the map is replaced, never changed.
 */
public final class SnapshotHistory {
    /** How many snapshots are kept. */
    public static final int MAXIMUM_SNAPSHOTS = 16;

    private final AtomicReference<NavigableMap<ConfigurationVersion, ConfigurationSnapshot>> recent =
            new AtomicReference<>(new TreeMap<>(Map.of(ConfigurationVersion.none(), ConfigurationSnapshot.empty())));

    private SnapshotHistory() {}

    /** Returns the history that knows only the empty configuration. */
    public static SnapshotHistory create() {
        return new SnapshotHistory();
    }

    /** Returns the history of a holder: it learns each snapshot that the holder adopts. */
    public static SnapshotHistory of(ConfigurationHolder holder) {
        Objects.requireNonNull(holder, "holder is null");
        SnapshotHistory history = new SnapshotHistory();
        history.add(holder.held());
        holder.addListener(history::add);
        return history;
    }

    /** Adds a snapshot and drops the oldest when there are too many. */
    public void add(ConfigurationSnapshot snapshot) {
        Objects.requireNonNull(snapshot, "snapshot is null");
        recent.updateAndGet(before -> with(before, snapshot));
    }

    /** Returns the snapshot of a version, if it is kept. */
    public Optional<ConfigurationSnapshot> snapshot(ConfigurationVersion version) {
        return Optional.ofNullable(recent.get().get(version));
    }

    /**
     * Returns the delta to a snapshot from a version whose content has the given digest, if that is kept. From the empty
     * configuration there is none, since such a delta is as large as the snapshot.
     */
    public Optional<ConfigurationDelta> delta(ConfigurationVersion from, Digest base, ConfigurationSnapshot to) {
        if (from.equals(ConfigurationVersion.none())) {
            return Optional.empty();
        }
        return snapshot(from)
                .filter(known -> known.digest().equals(base))
                .map(known -> ConfigurationDelta.between(known, to));
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
