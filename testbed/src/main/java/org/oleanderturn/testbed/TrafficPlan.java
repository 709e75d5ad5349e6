package org.oleanderturn.testbed;

import java.util.Objects;
import org.oleanderturn.model.TrafficPolicy;
import org.oleanderturn.model.TrafficPolicyName;
import org.oleanderturn.traffic.EjectionSettings;
import org.oleanderturn.traffic.EjectionStrategy;

/**
 * What a rig is made of.
 *
 * <p>Immutable and thread safe.
 *
 * @param targets how many targets serve
 * @param behaviour how each target behaves at first; its slots are declared as the service's
 * @param kind what the targets do with requests above their slots
 * @param policy the traffic policy of every route
 * @param ejection when the entry ejects an endpoint
 */
record TrafficPlan(
        int targets, TargetBehaviour behaviour, TargetKind kind, TrafficPolicy policy, EjectionSettings ejection) {
    private static final int ATTEMPTS = 3;
    private static final int RETRY_PERCENT = 20;
    private static final int HEDGE_PERCENTILE = 95;
    private static final int HEDGE_PERCENT = 5;
    private static final int QUEUE = 20;
    private static final int RESERVED_PERCENT = 30;

    TrafficPlan {
        Objects.requireNonNull(behaviour, "behaviour is null");
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(policy, "policy is null");
        Objects.requireNonNull(ejection, "ejection is null");
    }

    /** What a target does with requests above its slots. */
    enum TargetKind {
        /** It sheds them. */
        SHEDDING,
        /** It lets them wait for as long as it takes. */
        QUEUEING
    }

    /** Returns a plan with the example's policy for lookups. */
    static TrafficPlan of(int targets, TargetBehaviour behaviour, int timeoutMilliseconds) {
        TrafficPolicy policy = new TrafficPolicy(
                TrafficPolicyName.of("bench"),
                timeoutMilliseconds,
                ATTEMPTS,
                RETRY_PERCENT,
                HEDGE_PERCENTILE,
                HEDGE_PERCENT,
                QUEUE,
                RESERVED_PERCENT);
        return new TrafficPlan(targets, behaviour, TargetKind.SHEDDING, policy, EjectionSettings.defaults());
    }

    TrafficPlan with(TargetKind newKind) {
        return new TrafficPlan(targets, behaviour, newKind, policy, ejection);
    }

    TrafficPlan with(EjectionStrategy strategy) {
        return new TrafficPlan(targets, behaviour, kind, policy, EjectionSettings.of(strategy));
    }

    TrafficPlan withoutEjection() {
        return new TrafficPlan(targets, behaviour, kind, policy, EjectionSettings.disabled());
    }

    TrafficPlan withoutHedges() {
        TrafficPolicy changed = new TrafficPolicy(
                policy.name(),
                policy.timeoutMilliseconds(),
                policy.maximumAttempts(),
                policy.retryBudgetPercent(),
                0,
                0,
                policy.queueLimit(),
                policy.reservedShortPercent());
        return new TrafficPlan(targets, behaviour, kind, changed, ejection);
    }

    TrafficPlan withReservedShortPercent(int percent) {
        TrafficPolicy changed = new TrafficPolicy(
                policy.name(),
                policy.timeoutMilliseconds(),
                policy.maximumAttempts(),
                policy.retryBudgetPercent(),
                policy.hedgePercentile(),
                policy.hedgeBudgetPercent(),
                policy.queueLimit(),
                percent);
        return new TrafficPlan(targets, behaviour, kind, changed, ejection);
    }
}
