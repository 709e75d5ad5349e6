package org.oleanderturn.traffic;

import java.util.Objects;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.TrafficPolicy;

/**
 * The limits of one target.
 *
 * @param slots requests that the target runs at once, one or more
 * @param queueLimit requests that may wait
 * @param reservedShortPercent share of the slots that downloads may not take
 * @param isAdaptive whether concurrency falls below the slots while the target sheds
 */
public record AdmissionLimits(int slots, int queueLimit, int reservedShortPercent, boolean isAdaptive) {
    private static final int PERCENT = 100;

    /** Checks the ranges. */
    public AdmissionLimits {
        if (slots < 1 || queueLimit < 0 || reservedShortPercent < 0 || reservedShortPercent > PERCENT) {
            throw new IllegalArgumentException("limits out of range: " + slots + ", " + queueLimit);
        }
    }

    /** Returns adaptive limits. */
    public static AdmissionLimits of(int slots, int queueLimit, int reservedShortPercent) {
        return new AdmissionLimits(slots, queueLimit, reservedShortPercent, true);
    }

    /** Returns the limits that a service and a policy declare. */
    public static AdmissionLimits of(Service service, TrafficPolicy policy) {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(policy, "policy is null");
        return of(service.slots(), policy.queueLimit(), policy.reservedShortPercent());
    }

    /** Returns these limits with concurrency fixed at the slots. */
    public AdmissionLimits withFixedConcurrency() {
        return new AdmissionLimits(slots, queueLimit, reservedShortPercent, false);
    }

    /** Returns how many long requests may run at once while so many may run in all; one or more. */
    public int longRunningLimit(int concurrency) {
        int reserved = (concurrency * reservedShortPercent + PERCENT - 1) / PERCENT;
        return Math.max(1, concurrency - reserved);
    }
}
