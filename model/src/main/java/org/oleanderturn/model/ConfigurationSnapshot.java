package org.oleanderturn.model;

import java.util.Objects;

/**
 * An accepted configuration: its version, its content and the digest of the content.
 *
 * <p>The constructor does not verify the digest, because a snapshot may come from another process; call
 * {@link #isIntact} to verify it. Immutable and thread safe.
 */
public record ConfigurationSnapshot(ConfigurationVersion version, Configuration configuration, Digest digest) {
    private static final ConfigurationSnapshot EMPTY = of(ConfigurationVersion.none(), Configuration.empty());

    /** Throws {@link NullPointerException} if a component is null. */
    public ConfigurationSnapshot {
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(configuration, "configuration is null");
        Objects.requireNonNull(digest, "digest is null");
    }

    /** Returns the snapshot of a configuration under a version, with the digest computed. */
    public static ConfigurationSnapshot of(ConfigurationVersion version, Configuration configuration) {
        return new ConfigurationSnapshot(version, configuration, digestOf(configuration));
    }

    /** Returns the empty configuration at version zero, which a node holds before it adopts another. */
    public static ConfigurationSnapshot empty() {
        return EMPTY;
    }

    /** Returns whether the digest matches the content. */
    public boolean isIntact() {
        return digest.equals(digestOf(configuration));
    }

    /** Computes the digest of the MessagePack encoding of a configuration. */
    public static Digest digestOf(Configuration configuration) {
        return Digest.compute(Codec.messagePack().encode(configuration));
    }
}
