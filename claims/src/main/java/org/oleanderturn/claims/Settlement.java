package org.oleanderturn.claims;

/**
 * A record that is to take the place of a claim.
 *
 * <p>Immutable and thread safe.
 *
 * @param expectedRevision the revision the claim was, or may yet be, written over or at
 * @param record the record to write, with the claim's token
 * @param expiresAtMilliseconds when to stop trying, by the process's clock
 */
record Settlement(IdempotencyKey key, long expectedRevision, ClaimRecord record, long expiresAtMilliseconds) {}
