package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.oleanderturn.model.DecodeFailure;
import org.oleanderturn.model.RolloutOrder;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.platform.RolloutKeys;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;
import org.oleanderturn.traffic.RolloutPace;
import org.oleanderturn.traffic.RolloutReport;
import org.oleanderturn.traffic.RolloutStage;

/**
 * Judges the rollouts of all services while this node is the one that the others report to.
 *
 * <p>It reads the operator's orders only while targets of a service run different versions, and says nothing before it has
 * read them. Invariants: nothing is said to be completed before the status in the store says so; an order is taken for
 * removed only by a read that is not stale. {@link #run} must be called by one thread at a time; the rest is thread safe.
 */
final class RolloutJudge {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** A rollout may last 12 s, of which finding the order must take little; such a read costs a tenth of others. */
    private static final long ORDER_INTERVAL_MILLISECONDS = 700;

    private static final long STEP_INTERVAL_MILLISECONDS = 250;

    /** Nodes ask another one than the usual judge when that one does not answer; such a judge goes on while it is asked. */
    private static final long ASKED_PERIOD_MILLISECONDS = 5_000;

    private final RolloutPace pace;
    private final Store store;
    private final BooleanSupplier isUsualJudge;
    private final BooleanSupplier isOrderPossible;
    private final IntSupplier reachableNodes;
    private final LongSupplier clockMilliseconds;
    private final Map<ServiceName, JudgedRollout> rollouts = new HashMap<>();
    private final Set<Long> askedOrders = new HashSet<>();
    private final Set<Long> removedOrders = new HashSet<>();
    private boolean isRead;
    private boolean isTried;
    private boolean isNewestNeeded;
    private long readMilliseconds;
    private long askedMilliseconds;
    private boolean isAsked;

    RolloutJudge(
            RolloutPace pace,
            Store store,
            BooleanSupplier isUsualJudge,
            BooleanSupplier isOrderPossible,
            IntSupplier reachableNodes,
            LongSupplier clockMilliseconds) {
        this.pace = Objects.requireNonNull(pace, "pace is null");
        this.store = Objects.requireNonNull(store, "store is null");
        this.isUsualJudge = Objects.requireNonNull(isUsualJudge, "isUsualJudge is null");
        this.isOrderPossible = Objects.requireNonNull(isOrderPossible, "isOrderPossible is null");
        this.reachableNodes = Objects.requireNonNull(reachableNodes, "reachableNodes is null");
        this.clockMilliseconds = Objects.requireNonNull(clockMilliseconds, "clockMilliseconds is null");
    }

    // -- queries

    /** Returns the number of rollouts that this node judges and that have not ended. */
    synchronized long unsettled() {
        return rollouts.values().stream()
                .filter(rollout -> !rollout.machine().isSettled())
                .count();
    }

    // -- commands

    /** Records a node's reports and returns how far each rollout is; empty if this node has not read the orders. */
    synchronized Optional<List<RolloutDirective>> answer(List<RolloutReport> reports) {
        long now = clockMilliseconds.getAsLong();
        askedMilliseconds = now;
        isAsked = true;
        if (!isRead) {
            return Optional.empty();
        }
        if (reports.stream().anyMatch(this::isOfUnknownOrder)) {
            isNewestNeeded = true;
            return Optional.empty();
        }
        for (RolloutReport report : reports) {
            JudgedRollout rollout = rollouts.get(report.service());
            if (rollout != null) {
                rollout.machine().record(report, now);
            }
        }
        return Optional.of(rollouts.values().stream()
                .map(rollout -> rollout.directive(now))
                .toList());
    }

    /** Reads orders, decides and writes what is due; returns the delay before the next run, in milliseconds. */
    long run() {
        if (!isJudge()) {
            forget();
            return STEP_INTERVAL_MILLISECONDS;
        }
        if (isReadDue()) {
            readOrders();
        }
        for (JudgedRollout rollout : judged()) {
            rollout.readStatus(store, this);
            step(rollout);
            rollout.writeStatus(store, this, clockMilliseconds.getAsLong());
        }
        return STEP_INTERVAL_MILLISECONDS;
    }

    /** Returns whether another judge has read an order that this node has not, and that may only be missing in a stale read. */
    private boolean isOfUnknownOrder(RolloutReport report) {
        JudgedRollout known = rollouts.get(report.service());
        boolean isKnown = known != null && known.machine().order().revision() >= report.order();
        if (isKnown || removedOrders.contains(report.order())) {
            return false;
        }
        askedOrders.add(report.order());
        return true;
    }

    private synchronized boolean isJudge() {
        boolean isAskedNow = isAsked && clockMilliseconds.getAsLong() - askedMilliseconds < ASKED_PERIOD_MILLISECONDS;
        return (isOrderPossible.getAsBoolean() || unsettled() > 0) && (isUsualJudge.getAsBoolean() || isAskedNow);
    }

    private synchronized void forget() {
        rollouts.clear();
        askedOrders.clear();
        removedOrders.clear();
        isRead = false;
        isTried = false;
    }

    private synchronized boolean isReadDue() {
        return !isTried
                || isNewestNeeded
                || clockMilliseconds.getAsLong() - readMilliseconds >= ORDER_INTERVAL_MILLISECONDS;
    }

    private synchronized List<JudgedRollout> judged() {
        return List.copyOf(rollouts.values());
    }

    private synchronized void step(JudgedRollout rollout) {
        long now = clockMilliseconds.getAsLong();
        RolloutStage before = rollout.machine().stage();
        rollout.machine().step(now, reachableNodes.getAsInt());
        if (rollout.machine().stage() != before) {
            rollout.logStage(now);
        }
    }

    private void readOrders() {
        boolean isNewest;
        Set<Long> asked;
        synchronized (this) {
            isNewest = isNewestNeeded;
            asked = Set.copyOf(askedOrders);
            isNewestNeeded = false;
            isTried = true;
            readMilliseconds = clockMilliseconds.getAsLong();
        }
        Either<StoreFailure, List<StoredValue>> read =
                isNewest ? store.list(RolloutKeys.ORDER_PREFIX) : store.listStale(RolloutKeys.ORDER_PREFIX);
        read.peekLeft(failure ->
                log.atWarning().atMostEvery(1, TimeUnit.SECONDS).log("orders of rollouts can't be read: %s", failure));
        read.peek(stored -> observe(stored, isNewest, asked));
    }

    /**
     * Takes over the orders that a read returned.
     *
     * @param asked the orders that reports were about when the read began; a later one may have been written meanwhile
     */
    private synchronized void observe(List<StoredValue> values, boolean isNewest, Set<Long> asked) {
        isRead = true;
        Map<ServiceName, RolloutOrder> orders = new HashMap<>();
        for (StoredValue stored : values) {
            Either<DecodeFailure, RolloutOrder> decoded = RolloutKeys.decodeOrder(stored);
            decoded.peek(order -> orders.put(order.service(), order));
            decoded.peekLeft(failure -> log.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                    "order of a rollout at revision %s refused: %s", stored.revision(), failure));
        }
        if (isNewest) {
            rollouts.keySet().retainAll(orders.keySet());
            removedOrders.addAll(asked);
            askedOrders.removeAll(asked);
        } else if (!orders.keySet().containsAll(rollouts.keySet())) {
            isNewestNeeded = true;
        }
        orders.values().forEach(this::take);
    }

    private void take(RolloutOrder order) {
        JudgedRollout known = rollouts.get(order.service());
        // A stale read may return an order that has been replaced.
        if (known == null || order.revision() > known.machine().order().revision()) {
            rollouts.put(order.service(), JudgedRollout.of(order, pace, clockMilliseconds.getAsLong()));
            log.atInfo().log(
                    "rollout of %s to %s: order at revision %s, duration %s ms",
                    order.service(), order.target(), order.revision(), order.durationMilliseconds());
        }
    }
}
