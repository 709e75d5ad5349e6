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
 * The accepted configuration and the outcomes of the latest proposals, stored under one key of the platform's store.
 *
 * <p>Invariant: every write adds exactly one outcome, numbered by the write, so the outcomes are those of the latest
 * {@link #MAXIMUM_OUTCOMES} writes without gaps. Immutable and thread safe.
 *
 * @param sequence the number of writes so far
 * @param snapshot the accepted configuration
 * @param parent the version that the accepted configuration replaced
 * @param outcomes the outcomes recorded by the latest writes, oldest first
 * @param recordedSince no outcome recorded at this version or a later one has been dropped
 */
public record ConfigurationHead(
        long sequence,
        ConfigurationSnapshot snapshot,
        ConfigurationVersion parent,
        List<RecordedOutcome> outcomes,
        ConfigurationVersion recordedSince) {
    /** The head's key in the platform's store. */
    public static final String KEY = "configuration/head";
    /** The maximum number of outcomes that are kept. */
    public static final int MAXIMUM_OUTCOMES = 1_024;

    private static final ConfigurationHead EMPTY = new ConfigurationHead(
            0, ConfigurationSnapshot.empty(), ConfigurationVersion.none(), List.of(), ConfigurationVersion.none());

    /** Copies the outcomes; throws {@link NullPointerException} if a component is null. */
    public ConfigurationHead {
        Objects.requireNonNull(snapshot, "snapshot is null");
        Objects.requireNonNull(parent, "parent is null");
        Objects.requireNonNull(outcomes, "outcomes is null");
        Objects.requireNonNull(recordedSince, "recordedSince is null");
        outcomes = List.copyOf(outcomes);
    }

    /** Returns the head before the first write: version zero and no outcomes. */
    public static ConfigurationHead empty() {
        return EMPTY;
    }

    /** Decodes a head; malformed bytes or a digest that does not match are a {@link DecodeFailure}. */
    public static Either<DecodeFailure, ConfigurationHead> decode(byte[] bytes) {
        Objects.requireNonNull(bytes, "bytes is null");
        return Codec.messagePack()
                .decodeCompressed(bytes, ConfigurationHead.class)
                .filterOrElse(head -> head.snapshot().isIntact(), _ -> DecodeFailure.of("snapshot.digest", "mismatch"));
    }

    // -- core operations

    /**
     * Returns the head after accepting a proposal as the given snapshot, which replaces the given parent version. A
     * parent newer than this head means that the store was restored from a backup and that the outcomes in between were
     * lost.
     */
    public ConfigurationHead accept(Proposal proposal, ConfigurationSnapshot accepted, ConfigurationVersion newParent) {
        RecordedOutcome.Result result = new RecordedOutcome.Result.Accepted(accepted.digest());
        ConfigurationHead next = write(proposal, accepted, newParent, result);
        if (!newParent.isAfter(version())) {
            return next;
        }
        return new ConfigurationHead(next.sequence(), accepted, newParent, next.outcomes(), accepted.version());
    }

    /** Returns the head with the same configuration that records a proposal as permanently refused. */
    public ConfigurationHead fence(Proposal proposal) {
        return write(proposal, snapshot, parent, new RecordedOutcome.Result.Fenced());
    }

    /** Returns the recorded outcome of a proposal; empty when none is recorded. */
    public Optional<RecordedOutcome> outcome(ProposalId id) {
        return outcomes.stream().filter(outcome -> outcome.id().equals(id)).findFirst();
    }

    /**
     * Returns the outcome recorded by the write with the given number; empty when it was dropped or not written yet.
     */
    public Optional<RecordedOutcome> outcomeWithSequence(long writeSequence) {
        return outcomes.stream()
                .filter(outcome -> outcome.sequence() == writeSequence)
                .findFirst();
    }

    /** Returns the encoding that is stored: compressed MessagePack. */
    public byte[] encode() {
        return Codec.messagePack().encodeCompressed(this);
    }

    // -- derived operations

    /** Returns the version of the accepted configuration. */
    public ConfigurationVersion version() {
        return snapshot.version();
    }

    /**
     * Returns whether a later head was written on top of this one, judged by the outcomes that it still records. False
     * means that the store was restored from a backup, or that the outcome of the write after this head was dropped.
     */
    public boolean isContinuedBy(ConfigurationHead later) {
        if (later.outcomeWithSequence(sequence + 1).isEmpty()) {
            return false;
        }
        Optional<RecordedOutcome> outcomeHere = outcomeWithSequence(sequence);
        Optional<RecordedOutcome> outcomeThere = later.outcomeWithSequence(sequence);
        return outcomeHere.isEmpty() || outcomeThere.isEmpty() || outcomeHere.equals(outcomeThere);
    }

    private ConfigurationHead write(
            Proposal proposal,
            ConfigurationSnapshot newSnapshot,
            ConfigurationVersion newParent,
            RecordedOutcome.Result result) {
        Digest proposed = ConfigurationSnapshot.digestOf(proposal.configuration());
        List<RecordedOutcome> newOutcomes = new ArrayList<>(outcomes);
        newOutcomes.add(new RecordedOutcome(sequence + 1, proposal.id(), proposed, newSnapshot.version(), result));
        ConfigurationVersion newRecordedSince = recordedSince;
        while (newOutcomes.size() > MAXIMUM_OUTCOMES) {
            newRecordedSince = newOutcomes.removeFirst().version().next();
        }
        return new ConfigurationHead(sequence + 1, newSnapshot, newParent, newOutcomes, newRecordedSince);
    }
}
