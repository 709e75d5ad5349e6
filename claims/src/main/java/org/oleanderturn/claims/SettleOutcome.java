package org.oleanderturn.claims;

import org.oleanderturn.store.StoreFailure;

/**
 * What became of the result of a claim.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface SettleOutcome {

    /** The result is durable. */
    record Settled() implements SettleOutcome {}

    /** The key's record is no longer this claim's; nothing was written. */
    record Superseded() implements SettleOutcome {}

    /** The handle was settled before, or completed without having started; nothing was written. */
    record AlreadySettled() implements SettleOutcome {}

    /** The store gave no usable answer; the write is tried again in the background. */
    record Pending(StoreFailure failure) implements SettleOutcome {}
}
