package org.oleanderturn.model;

import java.util.Objects;
import java.util.Optional;

/**
 * An operator's request to replace the configuration.
 *
 * @param id chosen by the operator; sending the same proposal again never applies it twice
 * @param expectedVersion the version that the operator started from; empty to replace whatever is there
 * @param isRebaseAllowed whether a change that touches other objects may be accepted on top of a newer version
 * @param configuration the whole configuration that is to be in force
 */
public record Proposal(
        ProposalId id,
        Optional<ConfigurationVersion> expectedVersion,
        boolean isRebaseAllowed,
        Configuration configuration) {

    /** Checks that every part is there. */
    public Proposal {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(expectedVersion, "expectedVersion is null");
        Objects.requireNonNull(configuration, "configuration is null");
    }
}
