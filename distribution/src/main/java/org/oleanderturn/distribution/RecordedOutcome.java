package org.oleanderturn.distribution;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Objects;
import org.oleanderturn.model.ChangeOutcome;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.ProposalId;
import org.oleanderturn.model.Refusal;

/**
 * What one write of the {@link ConfigurationHead} did to one proposal.
 *
 * <p>Immutable and thread safe.
 *
 * @param sequence the number of the write that recorded it
 * @param id the proposal
 * @param proposed the digest of the configuration as it was proposed
 * @param version the head's version right after the write
 * @param result what became of the proposal
 */
public record RecordedOutcome(
        long sequence, ProposalId id, Digest proposed, ConfigurationVersion version, Result result) {

    /** Checks that every part is there. */
    public RecordedOutcome {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(proposed, "proposed is null");
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(result, "result is null");
    }

    /** Returns the answer for the operator who asks after the proposal. */
    public ChangeOutcome toChangeOutcome() {
        return switch (result) {
            case Result.Accepted accepted -> new ChangeOutcome.Accepted(id, version, accepted.digest());
            case Result.Fenced _ -> new ChangeOutcome.Refused(id, new Refusal.Fenced(), ChangeOutcome.Scope.PROPOSAL);
        };
    }

    /** What became of a proposal. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
    public sealed interface Result {

        /** It was accepted as the configuration with the given digest. */
        record Accepted(Digest digest) implements Result {}

        /** It was refused for good. */
        record Fenced() implements Result {}
    }
}
