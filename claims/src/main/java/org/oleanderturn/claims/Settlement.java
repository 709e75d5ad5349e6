package org.oleanderturn.claims;

/**
 * The final record that replaces a claim.
 *
 * <p>Immutable and thread safe.
 *
 * @param expectedRevision the revision of the claim; if the claim's write is undetermined, the revision that the write
 *     expected
 * @param record the record to write, with the claim's token
 * @param expiresAtMilliseconds when to stop retrying, by the process's clock
 */
record Settlement(IdempotencyKey key, long expectedRevision, ClaimRecord record, long expiresAtMilliseconds) {}
