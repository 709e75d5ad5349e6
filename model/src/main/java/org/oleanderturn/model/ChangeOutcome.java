package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Objects;

/**
 * What became of a proposal.
 *
 * <p>Invariant: once an outcome other than {@link Undetermined} with {@link Scope#PROPOSAL} is given for an id, every
 * later outcome for that id is the same. Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface ChangeOutcome {

    /** Returns the proposal's id. */
    ProposalId id();

    /** What a refusal speaks for. */
    enum Scope {
        /** Only this sending of the proposal did not run; the same id may still be accepted elsewhere or later. */
        ATTEMPT,
        /** The id is recorded as refused in the platform's store and can never be accepted. */
        PROPOSAL
    }

    /** The configuration was accepted under a version, and stays accepted. */
    record Accepted(ProposalId id, ConfigurationVersion version, Digest digest) implements ChangeOutcome {

        /** Checks that every part is there. */
        public Accepted {
            Objects.requireNonNull(id, "id is null");
            Objects.requireNonNull(version, "version is null");
            Objects.requireNonNull(digest, "digest is null");
        }
    }

    /** The proposal did not run. */
    record Refused(ProposalId id, Refusal refusal, Scope scope) implements ChangeOutcome {

        /** Checks that every part is there. */
        public Refused {
            Objects.requireNonNull(id, "id is null");
            Objects.requireNonNull(refusal, "refusal is null");
            Objects.requireNonNull(scope, "scope is null");
        }
    }

    /**
     * Whether the proposal ran is not known yet; asking for the id later tells.
     *
     * @param retryAfterMilliseconds when to ask again
     */
    record Undetermined(ProposalId id, String reason, long retryAfterMilliseconds) implements ChangeOutcome {}

    /** No outcome of the id is on record, and none has been dropped since the given version: it has not run so far. */
    record NotRecorded(ProposalId id, ConfigurationVersion recordedSince) implements ChangeOutcome {}
}
