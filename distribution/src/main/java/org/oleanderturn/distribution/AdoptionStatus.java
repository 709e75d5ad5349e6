package org.oleanderturn.distribution;

import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;

/**
 * The configuration that a node holds, and how many it adopted and rejected, for the state dump.
 *
 * <p>Immutable and thread safe.
 *
 * @param held the held version
 * @param digest the digest of the held configuration
 * @param adopted the number of versions adopted since the start
 * @param rejected the number of offers rejected since the start
 * @param lastRejected the last rejected offer; empty when there was none
 */
public record AdoptionStatus(
        ConfigurationVersion held,
        Digest digest,
        long adopted,
        long rejected,
        Optional<AdoptionResult.Rejected> lastRejected) {

    /** Throws {@link NullPointerException} if a component is null. */
    public AdoptionStatus {
        Objects.requireNonNull(held, "held is null");
        Objects.requireNonNull(digest, "digest is null");
        Objects.requireNonNull(lastRejected, "lastRejected is null");
    }
}
