package org.oleanderturn.distribution;

import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;

/**
 * What a node holds and what it kept out, for the state dump.
 *
 * <p>Immutable and thread safe.
 *
 * @param held the held version
 * @param digest the digest of the held configuration
 * @param adopted how many versions were adopted
 * @param rejected how many offers were kept out
 * @param lastRejected the last offer that was kept out
 */
public record AdoptionStatus(
        ConfigurationVersion held,
        Digest digest,
        long adopted,
        long rejected,
        Optional<AdoptionResult.Rejected> lastRejected) {

    /** Checks that every part is there. */
    public AdoptionStatus {
        Objects.requireNonNull(held, "held is null");
        Objects.requireNonNull(digest, "digest is null");
        Objects.requireNonNull(lastRejected, "lastRejected is null");
    }
}
