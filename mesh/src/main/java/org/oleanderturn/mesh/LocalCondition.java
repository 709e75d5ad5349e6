package org.oleanderturn.mesh;

import com.google.common.flogger.FluentLogger;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import org.oleanderturn.model.NodeId;

/**
 * The condition of the local target, which the guard beside it decides.
 *
 * <p>Invariants: what this node has seen of a process goes before what others know of it, but for a departure, which always
 * counts; a condition is never replaced by that of an earlier process. Thread safe; the listener is called outside the lock,
 * on the thread that caused the change.
 */
final class LocalCondition {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final NodeId node;
    private final LongSupplier nanoseconds;
    private final Consumer<TargetCondition> listener;
    private volatile Optional<TargetCondition> current = Optional.empty();
    private boolean isObserved;
    private long changedNanoseconds;

    private LocalCondition(NodeId node, LongSupplier nanoseconds, Consumer<TargetCondition> listener) {
        this.node = node;
        this.nanoseconds = nanoseconds;
        this.listener = listener;
    }

    /** Returns the condition of a target that has not asked anything. */
    static LocalCondition of(NodeId node, LongSupplier nanoseconds, Consumer<TargetCondition> listener) {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(listener, "listener is null");
        return new LocalCondition(node, nanoseconds, listener);
    }

    // -- queries

    /** Returns the condition; empty if no process of the target is known to have asked anything. */
    Optional<TargetCondition> current() {
        return current;
    }

    // -- commands

    /**
     * Records what a process says in a response. A response to a request that was sent before the last change can only
     * tighten the condition, as it may be older than the one that brought the change.
     */
    void recordSignals(TargetStart start, TargetSignals signals, long sentNanoseconds) {
        boolean isAsking = signals.isLeaving() || signals.requestsPerSecond().isPresent();
        if (!isAsking && current.filter(TargetCondition::isBinding).isEmpty()) {
            return;
        }
        change(known -> {
            TargetCondition before = ofProcess(known, start);
            boolean isNewer = before.revision() == 0 || sentNanoseconds - changedNanoseconds >= 0;
            double stated = signals.requestsPerSecond().orElse(TargetCondition.UNLIMITED);
            double rate = isNewer || stated < before.requestsPerSecond() ? stated : before.requestsPerSecond();
            isObserved |= isNewer;
            TargetCondition after = before.changed(rate, signals.isLeaving());
            return Optional.of(after.asksSameAs(before) ? before : after);
        });
    }

    /**
     * Merges what another node knows of this node's target, of which the given process reported last; ignored if it is of a
     * process that did not start after that one.
     */
    void merge(Optional<TargetStart> reported, TargetCondition received) {
        boolean isOutdated = reported.filter(start -> !start.equals(received.start()))
                .filter(start -> !received.start().isAfter(start))
                .isPresent();
        if (isOutdated) {
            return;
        }
        change(known -> {
            Optional<TargetCondition> before =
                    known.or(() -> reported.map(start -> TargetCondition.initial(node, start)));
            TargetCondition joined = before.map(received::join).orElse(received);
            boolean isOverruled = isObserved
                    && joined.start().equals(before.orElse(received).start())
                    && joined.requestsPerSecond() != before.orElse(received).requestsPerSecond();
            return Optional.of(
                    isOverruled
                            ? before.get()
                                    .changed(before.get().requestsPerSecond(), joined.isLeaving())
                                    .above(joined.revision())
                            : joined);
        });
    }

    /** Records the process that reported last, and whether it has left. */
    void recordProcess(TargetStart start, boolean hasLeft) {
        change(known -> {
            if (known.isEmpty() && !hasLeft) {
                return known;
            }
            TargetCondition before =
                    known.map(TargetCondition.initial(node, start)::join).orElse(TargetCondition.initial(node, start));
            boolean isNewDeparture = hasLeft && before.start().equals(start) && !before.isLeaving();
            return Optional.of(isNewDeparture ? before.changed(before.requestsPerSecond(), true) : before);
        });
    }

    private TargetCondition ofProcess(Optional<TargetCondition> known, TargetStart start) {
        return known.filter(condition -> condition.start().equals(start)).orElse(TargetCondition.initial(node, start));
    }

    private void change(UnaryOperator<Optional<TargetCondition>> operation) {
        Optional<TargetCondition> after;
        synchronized (this) {
            Optional<TargetCondition> before = current;
            after = operation.apply(before);
            if (after.isEmpty() || after.equals(before)) {
                return;
            }
            boolean isSameProcess = before.map(TargetCondition::start)
                    .filter(after.get().start()::equals)
                    .isPresent();
            isObserved &= isSameProcess || before.isEmpty();
            current = after;
            changedNanoseconds = nanoseconds.getAsLong();
            log.atInfo().atMostEvery(1, TimeUnit.SECONDS).log("target condition is %s, was %s", after.get(), before);
        }
        listener.accept(after.get());
    }
}
