package org.oleanderturn.claims;

import org.oleanderturn.store.StoreFailure;

/**
 * The outcome of writing the result of a claim.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface SettleOutcome {

    /** The result is durable. */
    record Settled() implements SettleOutcome {}

    /** The key's record no longer belongs to this claim; nothing was written. */
    record Superseded() implements SettleOutcome {}

    /** The handle was already settled, or was completed without having been started; nothing was written. */
    record AlreadySettled() implements SettleOutcome {}

    /** The store returned no usable answer; the write is retried in the background. */
    record Pending(StoreFailure failure) implements SettleOutcome {}
}
