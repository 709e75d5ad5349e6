package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The version number of an accepted configuration. Each accepted configuration has a higher one.
 *
 * <p>Invariant: never negative; zero is the version before the first accepted configuration. Immutable and thread safe.
 */
public record ConfigurationVersion(@JsonValue long number) implements Comparable<ConfigurationVersion> {
    private static final ConfigurationVersion NONE = new ConfigurationVersion(0);

    /** Throws {@link IllegalArgumentException} if the number is negative. */
    public ConfigurationVersion {
        if (number < 0) {
            throw new IllegalArgumentException("version is negative: " + number);
        }
    }

    /** Returns the version with the given number; a negative one is an {@link IllegalArgumentException}. */
    @JsonCreator
    public static ConfigurationVersion of(long number) {
        return new ConfigurationVersion(number);
    }

    /** Returns version zero, which precedes the first accepted configuration. */
    public static ConfigurationVersion none() {
        return NONE;
    }

    /** Returns the version whose number is one higher. */
    public ConfigurationVersion next() {
        return new ConfigurationVersion(number + 1);
    }

    /** Returns whether this version is strictly newer than another. */
    public boolean isAfter(ConfigurationVersion other) {
        return number > other.number;
    }

    /** Returns the newer of two versions. */
    public static ConfigurationVersion newest(ConfigurationVersion first, ConfigurationVersion second) {
        return first.isAfter(second) ? first : second;
    }

    @Override
    public int compareTo(ConfigurationVersion other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
