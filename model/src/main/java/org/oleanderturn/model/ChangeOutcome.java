package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Objects;

/**
 * The outcome of a proposal.
 *
 * <p>Invariant: {@link Accepted}, and {@link Refused} with {@link Scope#PROPOSAL}, are final: as long as the platform's
 * store keeps the record, every later outcome for the same id is the same. Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface ChangeOutcome {

    /** Returns the proposal's id. */
    ProposalId id();

    /** What a refusal applies to. */
    enum Scope {
        /**
         * This request only: the proposal was not applied, and the same id may still be accepted elsewhere or later.
         */
        ATTEMPT,
        /** The proposal itself: its id is recorded as refused in the platform's store and can never be accepted. */
        PROPOSAL
    }

    /** The configuration was accepted under the given version. This outcome is final. */
    record Accepted(ProposalId id, ConfigurationVersion version, Digest digest) implements ChangeOutcome {

        /** Throws {@link NullPointerException} if a component is null. */
        public Accepted {
            Objects.requireNonNull(id, "id is null");
            Objects.requireNonNull(version, "version is null");
            Objects.requireNonNull(digest, "digest is null");
        }
    }

    /** The proposal was not applied. */
    record Refused(ProposalId id, Refusal refusal, Scope scope) implements ChangeOutcome {

        /** Throws {@link NullPointerException} if a component is null. */
        public Refused {
            Objects.requireNonNull(id, "id is null");
            Objects.requireNonNull(refusal, "refusal is null");
            Objects.requireNonNull(scope, "scope is null");
        }
    }

    /**
     * It is not known yet whether the proposal was applied; a later query for the id returns the outcome.
     *
     * @param retryAfterMilliseconds the delay before the next query, in milliseconds
     */
    record Undetermined(ProposalId id, String reason, long retryAfterMilliseconds) implements ChangeOutcome {}

    /**
     * No outcome is recorded for the id: the proposal has not been applied so far.
     *
     * @param recordedSince no outcome recorded at this version or a later one has been dropped
     */
    record NotRecorded(ProposalId id, ConfigurationVersion recordedSince) implements ChangeOutcome {}
}
