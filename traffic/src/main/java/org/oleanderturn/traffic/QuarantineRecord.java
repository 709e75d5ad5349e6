package org.oleanderturn.traffic;

import java.util.Objects;
import org.oleanderturn.model.NodeId;

/**
 * States that a request crashed a target while it ran there exclusively, and until when it is quarantined. Sent to
 * other nodes; immutable and thread safe.
 *
 * @param fingerprint the request
 * @param convictedBy the node whose target crashed
 * @param expiresMilliseconds when the quarantine ends, in milliseconds since the epoch
 * @param times how often the request has been quarantined, one or more
 */
public record QuarantineRecord(Fingerprint fingerprint, NodeId convictedBy, long expiresMilliseconds, int times) {

    /**
     * Throws {@link NullPointerException} if a component is null and {@link IllegalArgumentException} if times is
     * below one.
     */
    public QuarantineRecord {
        Objects.requireNonNull(fingerprint, "fingerprint is null");
        Objects.requireNonNull(convictedBy, "convictedBy is null");
        if (times < 1) {
            throw new IllegalArgumentException("times is below one: " + times);
        }
    }
}
