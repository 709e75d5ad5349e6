package org.oleanderturn.distribution;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.DecodeFailure;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.Proposal;
import org.oleanderturn.model.ProposalId;

/**
 * The accepted configuration and the outcomes of the last proposals, kept whole under one key of the platform's store.
 *
 * <p>Invariant: every write adds exactly one outcome, numbered by the write, so the outcomes are those of the last
 * {@link #MAXIMUM_OUTCOMES} writes without a gap. Immutable and thread safe.
 *
 * @param sequence counts the writes
 * @param snapshot the accepted configuration
 * @param parent the version that the accepted configuration followed
 * @param outcomes the outcomes that the last writes recorded, oldest first
 * @param recordedSince no outcome recorded at this version or a later one has been dropped
 */
public record ConfigurationHead(
        long sequence,
        ConfigurationSnapshot snapshot,
        ConfigurationVersion parent,
        List<RecordedOutcome> outcomes,
        ConfigurationVersion recordedSince) {
    /** The key that holds the head. */
    public static final String KEY = "configuration/head";
    /** How many outcomes are kept. */
    public static final int MAXIMUM_OUTCOMES = 1_024;

    private static final ConfigurationHead EMPTY = new ConfigurationHead(
            0, ConfigurationSnapshot.empty(), ConfigurationVersion.none(), List.of(), ConfigurationVersion.none());

    /** Checks that every part is there and copies the outcomes. */
    public ConfigurationHead {
        Objects.requireNonNull(snapshot, "snapshot is null");
        Objects.requireNonNull(parent, "parent is null");
        Objects.requireNonNull(outcomes, "outcomes is null");
        Objects.requireNonNull(recordedSince, "recordedSince is null");
        outcomes = List.copyOf(outcomes);
    }

    /** Returns the head before the first write. */
    public static ConfigurationHead empty() {
        return EMPTY;
    }

    /** Decodes a head and checks its digest. */
    public static Either<DecodeFailure, ConfigurationHead> decode(byte[] bytes) {
        Objects.requireNonNull(bytes, "bytes is null");
        return Codec.messagePack()
                .decodeCompressed(bytes, ConfigurationHead.class)
                .filterOrElse(head -> head.snapshot().isIntact(), _ -> DecodeFailure.of("snapshot.digest", "mismatch"));
    }

    // -- core operations

    /**
     * Returns the head after the acceptance of a proposal as the given snapshot, which follows the given parent. When
     * the parent is newer than this head, the outcomes between them were lost with a restored store.
     */
    public ConfigurationHead accept(Proposal proposal, ConfigurationSnapshot accepted, ConfigurationVersion follows) {
        RecordedOutcome.Result result = new RecordedOutcome.Result.Accepted(accepted.digest());
        ConfigurationHead written = write(proposal, accepted, follows, result);
        if (!follows.isAfter(version())) {
            return written;
        }
        return new ConfigurationHead(written.sequence(), accepted, follows, written.outcomes(), accepted.version());
    }

    /** Returns the head with the same configuration that records a proposal as refused for good. */
    public ConfigurationHead fence(Proposal proposal) {
        return write(proposal, snapshot, parent, new RecordedOutcome.Result.Fenced());
    }

    /** Returns the recorded outcome of a proposal. */
    public Optional<RecordedOutcome> outcome(ProposalId id) {
        return outcomes.stream().filter(outcome -> outcome.id().equals(id)).findFirst();
    }

    /** Returns the outcome that the write with the given number recorded; empty when it was dropped or is to come. */
    public Optional<RecordedOutcome> outcomeWithSequence(long number) {
        return outcomes.stream().filter(outcome -> outcome.sequence() == number).findFirst();
    }

    /** Returns the encoding kept in the store. */
    public byte[] encode() {
        return Codec.messagePack().encodeCompressed(this);
    }

    // -- derived operations

    /** Returns the accepted version. */
    public ConfigurationVersion version() {
        return snapshot.version();
    }

    /**
     * Returns whether a later head continues this one by at least one write that is still on record. False says that
     * the store was restored, or that so many writes came between that nothing can be said of the first of them.
     */
    public boolean isContinuedBy(ConfigurationHead later) {
        if (later.outcomeWithSequence(sequence + 1).isEmpty()) {
            return false;
        }
        Optional<RecordedOutcome> ours = outcomeWithSequence(sequence);
        Optional<RecordedOutcome> theirs = later.outcomeWithSequence(sequence);
        return ours.isEmpty() || theirs.isEmpty() || ours.equals(theirs);
    }

    private ConfigurationHead write(
            Proposal proposal,
            ConfigurationSnapshot next,
            ConfigurationVersion follows,
            RecordedOutcome.Result result) {
        Digest proposed = ConfigurationSnapshot.digestOf(proposal.configuration());
        List<RecordedOutcome> recorded = new ArrayList<>(outcomes);
        recorded.add(new RecordedOutcome(sequence + 1, proposal.id(), proposed, next.version(), result));
        ConfigurationVersion since = recordedSince;
        while (recorded.size() > MAXIMUM_OUTCOMES) {
            since = recorded.removeFirst().version().next();
        }
        return new ConfigurationHead(sequence + 1, next, follows, recorded, since);
    }
}
