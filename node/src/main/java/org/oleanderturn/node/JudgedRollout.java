package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.oleanderturn.model.RolloutOrder;
import org.oleanderturn.model.RolloutState;
import org.oleanderturn.model.RolloutStatus;
import org.oleanderturn.platform.RolloutKeys;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;
import org.oleanderturn.traffic.RolloutMachine;
import org.oleanderturn.traffic.RolloutPace;
import org.oleanderturn.traffic.RolloutStage;

/**
 * One order as its judge carries it out, with the status in the store.
 *
 * <p>Invariant: the status is replaced only at the revision that was read or written last; after a write whose outcome is
 * open, it is read again first. Changes of the machine are made under the lock that the caller names; calls to the store are
 * made without it. For one thread but for the machine.
 */
final class JudgedRollout {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final RolloutMachine machine;
    private OptionalLong statusRevision = OptionalLong.empty();
    private boolean isStarted;
    private volatile boolean isStatusKnown;

    private JudgedRollout(RolloutMachine machine) {
        this.machine = machine;
    }

    static JudgedRollout of(RolloutOrder order, RolloutPace pace, long nowMilliseconds) {
        return new JudgedRollout(RolloutMachine.of(order, pace, nowMilliseconds));
    }

    /** Returns the decisions, to be read and changed under the lock of the judge. */
    RolloutMachine machine() {
        return machine;
    }

    /**
     * Returns what entries are told; they get no permission before the status has been read, as another judge may have rolled
     * the version back.
     */
    RolloutDirective directive(long nowMilliseconds) {
        return new RolloutDirective(
                machine.order(),
                machine.stage(),
                isStatusKnown && machine.isPermitting(nowMilliseconds),
                machine.isSettled(),
                machine.elapsed(nowMilliseconds));
    }

    void logStage(long nowMilliseconds) {
        log.atInfo().log(
                "rollout of %s to %s: stage %s after %s ms, settled %s, judgement %s",
                machine.order().service(),
                machine.order().target(),
                machine.stage(),
                machine.elapsed(nowMilliseconds),
                machine.isSettled(),
                machine.verdict());
    }

    /** Reads the status unless its revision is known; another judge may have ended the rollout. */
    void readStatus(Store store, Object lock) {
        if (statusRevision.isPresent()) {
            return;
        }
        Either<StoreFailure, Optional<StoredValue>> read =
                store.get(RolloutKeys.statusKey(machine.order().service()));
        read.peekLeft(failure -> log.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                "status of the rollout of %s can't be read: %s", machine.order().service(), failure));
        read.peek(stored -> {
            statusRevision = OptionalLong.of(stored.map(StoredValue::revision).orElse(StoredValue.ABSENT));
            isStarted = false;
            stored.ifPresent(value -> observe(value, lock));
            isStatusKnown = true;
        });
    }

    /** A status that is older than the order, or of another version, is about an earlier order. */
    private void observe(StoredValue stored, Object lock) {
        Optional<RolloutStatus> status = RolloutKeys.decodeStatus(stored.value())
                .filter(known -> known.target().equals(machine.order().target()))
                .filter(_ -> stored.revision() > machine.order().revision());
        if (status.isEmpty()) {
            return;
        }
        isStarted = true;
        switch (status.get().state()) {
            case RUNNING -> {
                // This node takes over from the one that wrote it.
            }
            case COMPLETED -> settle(RolloutStage.COMPLETED, lock);
            case ROLLED_BACK -> settle(RolloutStage.ROLLED_BACK, lock);
        }
    }

    private void settle(RolloutStage end, Object lock) {
        synchronized (lock) {
            machine.settle(end);
            log.atInfo().log(
                    "rollout of %s to %s: the store says that it ended in %s",
                    machine.order().service(), machine.order().target(), end);
        }
    }

    /** Writes what the status lacks. */
    void writeStatus(Store store, Object lock, long nowMilliseconds) {
        Optional<RolloutStage> end;
        synchronized (lock) {
            end = machine.unwritten(nowMilliseconds);
            if (machine.isSettled()) {
                return;
            }
        }
        if (statusRevision.isEmpty() || (isStarted && end.isEmpty())) {
            return;
        }
        RolloutState state = end.map(JudgedRollout::state).orElse(RolloutState.RUNNING);
        RolloutOrder order = machine.order();
        Either<StoreFailure, Long> written = store.compareAndSwap(
                RolloutKeys.statusKey(order.service()),
                statusRevision.getAsLong(),
                RolloutKeys.encodeStatus(new RolloutStatus(state, order.target())));
        written.peekLeft(failure -> {
            statusRevision = OptionalLong.empty();
            log.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "status %s of the rollout of %s was not written: %s", state, order.service(), failure);
        });
        written.peek(revision -> {
            statusRevision = OptionalLong.of(revision);
            isStarted = true;
            log.atInfo().log("rollout of %s to %s: status %s written", order.service(), order.target(), state);
            end.ifPresent(stage -> {
                synchronized (lock) {
                    machine.settle(stage);
                }
            });
        });
    }

    private static RolloutState state(RolloutStage end) {
        return end == RolloutStage.COMPLETED ? RolloutState.COMPLETED : RolloutState.ROLLED_BACK;
    }
}
