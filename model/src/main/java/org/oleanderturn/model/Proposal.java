package org.oleanderturn.model;

import java.util.Objects;
import java.util.Optional;

/**
 * An operator's request to replace the configuration.
 *
 * <p>Immutable and thread safe.
 *
 * @param id the idempotency key chosen by the operator; sending the proposal again never applies it twice
 * @param expectedVersion the version that the change is based on; empty to replace the configuration unconditionally
 * @param isRebaseAllowed whether the change may be rebased onto a newer version that changed other objects
 * @param configuration the complete new configuration
 */
public record Proposal(
        ProposalId id,
        Optional<ConfigurationVersion> expectedVersion,
        boolean isRebaseAllowed,
        Configuration configuration) {

    /** Throws {@link NullPointerException} if a component is null. */
    public Proposal {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(expectedVersion, "expectedVersion is null");
        Objects.requireNonNull(configuration, "configuration is null");
    }
}
