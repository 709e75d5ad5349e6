package org.oleanderturn.node;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.oleanderturn.distribution.VersionOrigin;
import org.oleanderturn.model.ConfigurationVersion;

/**
 * Knows since when the node has heard of versions that are newer than the one it holds.
 *
 * <p>Invariants: the held and the newest version never decrease; a piece of news is kept only while it is the earliest
 * of its version and all newer ones, and for {@link #MAXIMUM_NEWS} versions at most. Thread safe.
 */
final class VersionTracker {
    /** Maximum number of versions between the held and the newest one whose first news are kept. */
    static final int MAXIMUM_NEWS = 64;

    private final LongSupplier milliseconds;
    private final TreeMap<ConfigurationVersion, News> newsByVersion = new TreeMap<>();
    private ConfigurationVersion held = ConfigurationVersion.none();
    private ConfigurationVersion newest = ConfigurationVersion.none();
    private OptionalLong storeReadMilliseconds = OptionalLong.empty();

    VersionTracker(LongSupplier milliseconds) {
        this.milliseconds = Objects.requireNonNull(milliseconds, "milliseconds is null");
    }

    /** The first news of a version or a newer one. */
    record News(ConfigurationVersion version, VersionOrigin origin, long milliseconds) {}

    // -- queries

    /** Returns the newest version that the node has heard of; none before the first. */
    synchronized ConfigurationVersion newest() {
        return newest;
    }

    /** Returns for how long the node has known of a newer version than it holds, in milliseconds; 0 if it knows none. */
    synchronized long behindMilliseconds() {
        Map.Entry<ConfigurationVersion, News> first = newsByVersion.firstEntry();
        return first == null ? 0 : milliseconds.getAsLong() - first.getValue().milliseconds();
    }

    /** Returns the time since the last read of the platform's store, in milliseconds; empty before the first. */
    synchronized OptionalLong storeReadAgeMilliseconds() {
        return storeReadMilliseconds.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(milliseconds.getAsLong() - storeReadMilliseconds.getAsLong());
    }

    // -- commands

    /** Records that the platform's store was read. */
    synchronized void recordStoreRead() {
        storeReadMilliseconds = OptionalLong.of(milliseconds.getAsLong());
    }

    /** Records the news of a version that came the given time ago. */
    synchronized void recordNews(VersionOrigin origin, ConfigurationVersion version, long agoMilliseconds) {
        if (!version.isAfter(held) || !version.isAfter(newest)) {
            return;
        }
        newest = version;
        newsByVersion.put(version, new News(version, origin, milliseconds.getAsLong() - agoMilliseconds));
        if (newsByVersion.size() > MAXIMUM_NEWS) {
            newsByVersion.remove(newsByVersion.higherKey(newsByVersion.firstKey()));
        }
    }

    /** Records that the node holds a version; returns the first news of it or a newer one. */
    synchronized Optional<News> recordHeld(ConfigurationVersion version) {
        held = ConfigurationVersion.newest(held, version);
        newest = ConfigurationVersion.newest(newest, held);
        Optional<News> first =
                Optional.ofNullable(newsByVersion.ceilingEntry(version)).map(Map.Entry::getValue);
        newsByVersion.headMap(held, true).clear();
        return first;
    }
}
