package org.oleanderturn.testbed;

import java.util.Objects;
import org.oleanderturn.model.TrafficPolicy;
import org.oleanderturn.model.TrafficPolicyName;
import org.oleanderturn.traffic.EjectionSettings;
import org.oleanderturn.traffic.EjectionStrategy;

/**
 * The composition of a test rig.
 *
 * <p>Immutable and thread safe.
 *
 * @param targetCount the number of targets
 * @param behaviour the initial behaviour of each target; its slots are also the declared slots of the service
 * @param targetKind what a target does with requests that exceed its slots
 * @param policy the traffic policy of every route
 * @param ejection the outlier ejection settings of the entry
 */
record TrafficPlan(
        int targetCount,
        TargetBehaviour behaviour,
        TargetKind targetKind,
        TrafficPolicy policy,
        EjectionSettings ejection) {
    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final int RETRY_BUDGET_PERCENT = 20;
    private static final int HEDGE_PERCENTILE = 95;
    private static final int HEDGE_BUDGET_PERCENT = 5;
    private static final int QUEUE_LIMIT = 20;
    private static final int RESERVED_SHORT_PERCENT = 30;

    TrafficPlan {
        Objects.requireNonNull(behaviour, "behaviour is null");
        Objects.requireNonNull(targetKind, "targetKind is null");
        Objects.requireNonNull(policy, "policy is null");
        Objects.requireNonNull(ejection, "ejection is null");
    }

    /** What a target does with requests that exceed its slots. */
    enum TargetKind {
        /** The target rejects them at once. */
        SHEDDING,
        /** The target queues them without a limit on length or time. */
        QUEUEING
    }

    /** Returns a plan of shedding targets with the lookup policy of the example configuration. */
    static TrafficPlan of(int targets, TargetBehaviour behaviour, int timeoutMilliseconds) {
        TrafficPolicy policy = new TrafficPolicy(
                TrafficPolicyName.of("bench"),
                timeoutMilliseconds,
                MAXIMUM_ATTEMPTS,
                RETRY_BUDGET_PERCENT,
                HEDGE_PERCENTILE,
                HEDGE_BUDGET_PERCENT,
                QUEUE_LIMIT,
                RESERVED_SHORT_PERCENT);
        return new TrafficPlan(targets, behaviour, TargetKind.SHEDDING, policy, EjectionSettings.defaults());
    }

    TrafficPlan with(TargetKind newKind) {
        return new TrafficPlan(targetCount, behaviour, newKind, policy, ejection);
    }

    TrafficPlan with(EjectionStrategy strategy) {
        return new TrafficPlan(targetCount, behaviour, targetKind, policy, EjectionSettings.of(strategy));
    }

    TrafficPlan withoutEjection() {
        return new TrafficPlan(targetCount, behaviour, targetKind, policy, EjectionSettings.disabled());
    }

    TrafficPlan withoutHedges() {
        TrafficPolicy newPolicy = new TrafficPolicy(
                policy.name(),
                policy.timeoutMilliseconds(),
                policy.maximumAttempts(),
                policy.retryBudgetPercent(),
                0,
                0,
                policy.queueLimit(),
                policy.reservedShortPercent());
        return new TrafficPlan(targetCount, behaviour, targetKind, newPolicy, ejection);
    }

    TrafficPlan withReservedShortPercent(int percent) {
        TrafficPolicy newPolicy = new TrafficPolicy(
                policy.name(),
                policy.timeoutMilliseconds(),
                policy.maximumAttempts(),
                policy.retryBudgetPercent(),
                policy.hedgePercentile(),
                policy.hedgeBudgetPercent(),
                policy.queueLimit(),
                percent);
        return new TrafficPlan(targetCount, behaviour, targetKind, newPolicy, ejection);
    }
}
