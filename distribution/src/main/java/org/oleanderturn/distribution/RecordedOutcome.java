package org.oleanderturn.distribution;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Objects;
import org.oleanderturn.model.ChangeOutcome;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.ProposalId;
import org.oleanderturn.model.Refusal;

/**
 * The outcome of a proposal as recorded by one write of the {@link ConfigurationHead}.
 *
 * <p>Immutable and thread safe.
 *
 * @param sequence the number of the write that recorded the outcome
 * @param id the id of the proposal
 * @param proposed the digest of the configuration as proposed, before any rebase
 * @param version the version of the head after the write
 * @param result whether the proposal was accepted or refused
 */
public record RecordedOutcome(
        long sequence, ProposalId id, Digest proposed, ConfigurationVersion version, Result result) {

    /** Throws {@link NullPointerException} if a component is null. */
    public RecordedOutcome {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(proposed, "proposed is null");
        Objects.requireNonNull(version, "version is null");
        Objects.requireNonNull(result, "result is null");
    }

    /** Returns this outcome in the form that operators receive. */
    public ChangeOutcome toChangeOutcome() {
        return switch (result) {
            case Result.Accepted accepted -> new ChangeOutcome.Accepted(id, version, accepted.digest());
            case Result.Fenced _ -> new ChangeOutcome.Refused(id, new Refusal.Fenced(), ChangeOutcome.Scope.PROPOSAL);
        };
    }

    /** The result of a proposal. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
    public sealed interface Result {

        /** The proposal was accepted; the digest is that of the accepted configuration. */
        record Accepted(Digest digest) implements Result {}

        /** The proposal was permanently refused, so that a lost write of it can never take effect. */
        record Fenced() implements Result {}
    }
}
