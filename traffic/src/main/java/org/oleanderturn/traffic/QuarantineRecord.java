package org.oleanderturn.traffic;

import java.util.Objects;
import org.oleanderturn.model.NodeId;

/**
 * States that a request crashed a target while it ran there alone. Spread among nodes; immutable and thread safe.
 *
 * @param fingerprint the request
 * @param convictedBy the node whose target died
 * @param expiresMilliseconds the time of day, since the epoch, at which it ends
 * @param times how often the request has been convicted, one or more
 */
public record QuarantineRecord(Fingerprint fingerprint, NodeId convictedBy, long expiresMilliseconds, int times) {

    /** Checks that every part is there. */
    public QuarantineRecord {
        Objects.requireNonNull(fingerprint, "fingerprint is null");
        Objects.requireNonNull(convictedBy, "convictedBy is null");
        if (times < 1) {
            throw new IllegalArgumentException("times is less than one: " + times);
        }
    }
}
