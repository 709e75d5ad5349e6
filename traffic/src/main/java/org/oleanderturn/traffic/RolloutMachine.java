package org.oleanderturn.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RolloutOrder;

/**
 * The decisions on one order, made by the node that judges it, in virtual time.
 *
 * <p>Load it is meant for: a report of each of 30 to 100 nodes about every second. All that it knows comes from the reports,
 * so another node that begins to judge reaches the same stage from the nodes' next reports.
 *
 * <p>Invariants: the stage never goes back; {@link RolloutStage#COMPLETED} is reached only by {@link #settle}, that is, once
 * the status is in the store; a version that is worse is rolled back in every stage before that. Not thread safe.
 */
public final class RolloutMachine {
    /** When the canary ends at the earliest, as a share of the duration; until then the exposure is bounded. */
    private static final double CANARY_PART = 0.4;

    /** How long each later stage lasts at least. */
    private static final double STAGE_PART = 0.15;

    /** When a version of which too little is known is given up; the rest is left for the writing. */
    private static final double LAST_DECISION_PART = 0.8;

    private final RolloutOrder order;
    private final long intervalMilliseconds;
    private final long validityMilliseconds;
    private final long judgedSinceMilliseconds;
    private final Map<NodeId, RolloutReport> reports = new HashMap<>();
    private final Map<NodeId, Long> lastReports = new HashMap<>();
    private long startMilliseconds;
    private RolloutStage stage = RolloutStage.CANARY;
    private long stageSinceMilliseconds;
    private boolean isReadyToComplete;
    private boolean isSettled;
    private RolloutVerdict verdict = RolloutVerdict.TOO_FEW;

    private RolloutMachine(RolloutOrder order, RolloutPace pace, long nowMilliseconds) {
        this.order = order;
        this.intervalMilliseconds = pace.interval().toMillis();
        this.validityMilliseconds = pace.validity().toMillis();
        this.judgedSinceMilliseconds = nowMilliseconds;
        this.startMilliseconds = nowMilliseconds;
        this.stageSinceMilliseconds = nowMilliseconds;
    }

    /** Returns the machine of a node that begins to judge an order. */
    public static RolloutMachine of(RolloutOrder order, RolloutPace pace, long nowMilliseconds) {
        Objects.requireNonNull(order, "order is null");
        Objects.requireNonNull(pace, "pace is null");
        return new RolloutMachine(order, pace, nowMilliseconds);
    }

    // -- queries

    /** Returns the order. */
    public RolloutOrder order() {
        return order;
    }

    /** Returns the stage that nodes have to act on. */
    public RolloutStage stage() {
        return stage;
    }

    /** Returns what the last judgement said of the new version. */
    public RolloutVerdict verdict() {
        return verdict;
    }

    /** Returns whether the store holds the end of the rollout. */
    public boolean isSettled() {
        return isSettled;
    }

    /**
     * Returns the end that is to be written to the store now; a rollback is written once no entry has a permission any more, so
     * that the new version gets nothing after it.
     */
    public Optional<RolloutStage> unwritten(long nowMilliseconds) {
        if (isSettled) {
            return Optional.empty();
        }
        if (stage == RolloutStage.ROLLED_BACK) {
            boolean isOver = nowMilliseconds - stageSinceMilliseconds >= validityMilliseconds;
            return isOver ? Optional.of(stage) : Optional.empty();
        }
        return isReadyToComplete ? Optional.of(RolloutStage.COMPLETED) : Optional.empty();
    }

    /** Returns how long ago the order was first read, as far as is known. */
    public long elapsed(long nowMilliseconds) {
        return nowMilliseconds - startMilliseconds;
    }

    /**
     * Returns whether the new version may get requests: a node that takes over a rollout first hears what the nodes have counted,
     * as they may have had enough bad answers already.
     */
    public boolean isPermitting(long nowMilliseconds) {
        return elapsed(nowMilliseconds) < 2 * intervalMilliseconds
                || nowMilliseconds - judgedSinceMilliseconds >= intervalMilliseconds;
    }

    // -- commands

    /** Records a node's report; one about another order changes nothing. */
    public void record(RolloutReport report, long nowMilliseconds) {
        if (report.order() != order.revision() || isSettled) {
            return;
        }
        reports.put(report.node(), report);
        lastReports.put(report.node(), nowMilliseconds);
        startMilliseconds = Math.min(startMilliseconds, nowMilliseconds - report.elapsedMilliseconds());
        if (report.stage().compareTo(stage) > 0 && report.stage() != RolloutStage.COMPLETED) {
            enter(report.stage(), nowMilliseconds);
        }
    }

    /**
     * Judges what has been reported, and enters the next stage when it is due; only a version that is worse is rolled back by
     * a judge to which fewer than half of the nodes report, as another node may judge for the others.
     *
     * @param reachableNodes the number of nodes that could report, this one included
     */
    public void step(long nowMilliseconds, int reachableNodes) {
        if (stage.isFinal()) {
            return;
        }
        verdict = RolloutJudgement.judge(reports.values(), stage != RolloutStage.ALL);
        if (verdict.isWorse()) {
            enter(RolloutStage.ROLLED_BACK, nowMilliseconds);
            isReadyToComplete = false;
            return;
        }
        boolean isInformed = nowMilliseconds - judgedSinceMilliseconds >= 2 * intervalMilliseconds
                && 2
                                * lastReports.values().stream()
                                        .filter(time -> nowMilliseconds - time <= 2 * intervalMilliseconds)
                                        .count()
                        > reachableNodes;
        if (isInformed) {
            advance(nowMilliseconds);
        }
    }

    private void advance(long now) {
        double elapsedPart = (double) elapsed(now) / order.durationMilliseconds();
        long stageTime = Math.max(
                Math.round(STAGE_PART * order.durationMilliseconds()), intervalMilliseconds + intervalMilliseconds / 2);
        boolean isStageOver = now - stageSinceMilliseconds >= stageTime;
        switch (stage) {
            case CANARY -> {
                if (elapsedPart >= CANARY_PART && verdict == RolloutVerdict.NO_WORSE) {
                    enter(RolloutStage.HALF, now);
                } else if (elapsedPart >= LAST_DECISION_PART) {
                    enter(RolloutStage.ROLLED_BACK, now);
                }
            }
            case HALF -> {
                if (isStageOver) {
                    enter(RolloutStage.ALL, now);
                }
            }
            case ALL ->
                isReadyToComplete = isReadyToComplete
                        || (isStageOver && (isCurrentUnused(now) || elapsedPart >= LAST_DECISION_PART));
            case COMPLETED, ROLLED_BACK -> {
                // Nothing follows.
            }
        }
    }

    /** Returns whether every node that reports has heard that the new version gets all, and waits for no old target. */
    private boolean isCurrentUnused(long now) {
        return reports.values().stream()
                .filter(report -> now - lastReports.get(report.node()) <= 2 * intervalMilliseconds)
                .allMatch(report -> report.stage() == RolloutStage.ALL && report.currentInFlight() == 0);
    }

    /** Takes over the end that the store holds for this order, whatever was decided here. */
    public void settle(RolloutStage end) {
        if (!end.isFinal()) {
            throw new IllegalArgumentException("not the end of a rollout: " + end);
        }
        if (!isSettled) {
            isSettled = true;
            stage = end;
        }
    }

    private void enter(RolloutStage next, long nowMilliseconds) {
        stage = next;
        stageSinceMilliseconds = nowMilliseconds;
    }
}
