package org.oleanderturn.claims;

import java.util.Objects;
import org.oleanderturn.model.Digest;

/**
 * The stored record of an idempotency key.
 *
 * <p>Invariant: a record is replaced by one with another token only if it is released. Immutable and thread safe.
 *
 * @param fingerprint the digest of the request
 * @param token the token of the attempt that wrote the record
 * @param claimedAtMilliseconds when the key was claimed, by the claiming process's wall clock; used for retry hints
 *     and, in journals, for the retention
 * @param state the progress of the booking
 */
record ClaimRecord(Digest fingerprint, ClaimToken token, long claimedAtMilliseconds, ClaimState state) {

    ClaimRecord {
        Objects.requireNonNull(fingerprint, "fingerprint is null");
        Objects.requireNonNull(token, "token is null");
        Objects.requireNonNull(state, "state is null");
    }

    ClaimRecord with(ClaimState newState) {
        return new ClaimRecord(fingerprint, token, claimedAtMilliseconds, newState);
    }

    boolean isReleased() {
        return state instanceof ClaimState.Released;
    }
}
