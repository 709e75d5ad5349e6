package org.oleanderturn.node;

import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Lets clients of a {@link SimulatedFleet} leave soon after their requests reach a stage. Used by one task at a time. */
final class StageWatch {
    private static final Duration LONGEST_STAY = Duration.ofMillis(40);

    private record Leaver(RequestStage stage, Runnable leave) {}

    private final SimulatedFleet fleet;
    private final Map<String, Leaver> leavers = new HashMap<>();
    private final Set<String> sent = new HashSet<>();
    private final Map<RequestStage, Integer> left = new EnumMap<>(RequestStage.class);

    /** The request that a task handles. */
    private final ThreadLocal<String> handled = ThreadLocal.withInitial(() -> "");

    StageWatch(SimulatedFleet fleet) {
        this.fleet = fleet;
    }

    /** Returns how many clients have left at a stage. */
    int left(RequestStage stage) {
        return left.getOrDefault(stage, 0);
    }

    /** Lets the client of an attempt leave once the attempt reaches a stage. */
    void leaveAt(String attemptId, RequestStage stage, Runnable leave) {
        leavers.put(attemptId, new Leaver(stage, leave));
    }

    /** Records that the calling task handles an attempt from now on. */
    void handle(String attemptId) {
        if (!leavers.isEmpty()) {
            handled.set(attemptId);
        }
    }

    /** Records that the attempt that the calling task handles has reached a stage. */
    void reach(RequestStage stage) {
        reach(handled.get(), stage);
    }

    void reach(String attemptId, RequestStage stage) {
        Leaver leaver = leavers.get(attemptId);
        if (leaver == null || leaver.stage() != stage) {
            return;
        }
        leavers.remove(attemptId);
        left.merge(stage, 1, Integer::sum);
        fleet.at(Duration.ofNanos(fleet.random().nextLong(LONGEST_STAY.toNanos())), leaver.leave());
    }

    /** Records that an entry sends an attempt to the guard of another node. */
    void sendToGuard(String attemptId) {
        if (leavers.isEmpty()) {
            return;
        }
        if (!sent.add(attemptId)) {
            reach(attemptId, RequestStage.RETRY);
        }
        reach(attemptId, RequestStage.CONNECT);
    }
}
