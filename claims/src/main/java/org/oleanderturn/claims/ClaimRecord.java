package org.oleanderturn.claims;

import java.util.Objects;
import org.oleanderturn.model.Digest;

/**
 * What the store holds of a key.
 *
 * <p>Invariant: a record is replaced by one of another token only when it is released. Immutable and thread safe.
 *
 * @param fingerprint the digest of the request
 * @param token the attempt that wrote the record
 * @param claimedAtMilliseconds the claimer's wall clock; a hint for when to come back, nothing rests on it
 * @param state how far the booking got
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
