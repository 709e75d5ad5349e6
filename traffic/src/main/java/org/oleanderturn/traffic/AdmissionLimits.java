package org.oleanderturn.traffic;

import java.util.Objects;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.TrafficPolicy;

/**
 * Limits of an {@link AdmissionController}. Immutable and thread safe.
 *
 * @param slots requests that the target runs at once, one or more
 * @param queueLimit requests that may be queued, zero or more
 * @param reservedShortPercent share of the slots that long-running requests may not use, 0 to 100
 * @param isAdaptive whether the concurrency limit falls below the slots while the target sheds load
 */
public record AdmissionLimits(int slots, int queueLimit, int reservedShortPercent, boolean isAdaptive) {
    private static final int PERCENT = 100;

    /** Throws {@link IllegalArgumentException} if a component is out of range. */
    public AdmissionLimits {
        if (slots < 1 || queueLimit < 0 || reservedShortPercent < 0 || reservedShortPercent > PERCENT) {
            throw new IllegalArgumentException("limits out of range: " + slots + ", " + queueLimit);
        }
    }

    /** Returns limits with an adaptive concurrency limit. */
    public static AdmissionLimits of(int slots, int queueLimit, int reservedShortPercent) {
        return new AdmissionLimits(slots, queueLimit, reservedShortPercent, true);
    }

    /** Returns the adaptive limits that a service and its traffic policy declare. */
    public static AdmissionLimits of(Service service, TrafficPolicy policy) {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(policy, "policy is null");
        return of(service.slots(), policy.queueLimit(), policy.reservedShortPercent());
    }

    /** Returns a copy whose concurrency limit is always the number of slots. */
    public AdmissionLimits withFixedConcurrency() {
        return new AdmissionLimits(slots, queueLimit, reservedShortPercent, false);
    }

    /** Returns how many long-running requests may run at once under a concurrency limit; one or more. */
    public int longRunningLimit(int concurrency) {
        int reserved = (concurrency * reservedShortPercent + PERCENT - 1) / PERCENT;
        return Math.max(1, concurrency - reserved);
    }
}
