package org.oleanderturn.model;

import java.util.Objects;

/**
 * One accepted configuration: its version, its content and the content's digest.
 *
 * <p>Invariant: none that the constructor enforces, since a snapshot may come from another process; {@link #isIntact}
 * says whether the digest is that of the content. Immutable and thread safe.
 */
public record ConfigurationSnapshot(ConfigurationVersion version, Configuration configuration, Digest digest) {
    private static final ConfigurationSnapshot EMPTY = of(ConfigurationVersion.none(), Configuration.empty());

    /** Checks that every part is there. */
    public ConfigurationSnapshot {
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(configuration, "configuration is null");
        Objects.requireNonNull(digest, "digest is null");
    }

    /** Returns the snapshot of a configuration under a version. */
    public static ConfigurationSnapshot of(ConfigurationVersion version, Configuration configuration) {
        return new ConfigurationSnapshot(version, configuration, digestOf(configuration));
    }

    /** Returns the snapshot that a node holds before it has adopted any. */
    public static ConfigurationSnapshot empty() {
        return EMPTY;
    }

    /** Returns whether the digest is that of the content. */
    public boolean isIntact() {
        return digest.equals(digestOf(configuration));
    }

    /** Returns the digest of a configuration. */
    public static Digest digestOf(Configuration configuration) {
        return Digest.compute(Codec.messagePack().encode(configuration));
    }
}
