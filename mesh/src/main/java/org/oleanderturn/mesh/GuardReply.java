package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.traffic.SlotDecision;

/**
 * The outcome of one attempt at a guard.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface GuardReply {
    /** The reasons of a guard that refuses on arrival, as its target or its own memory is used up for now. */
    Set<String> REASONS_FOR_LACK_OF_ROOM = Set.of(
            SlotDecision.Reason.FULL.name(),
            SlotDecision.Reason.RATE_LIMITED.name(),
            SlotDecision.Reason.SHEDDING.name(),
            "MEMORY_FULL");

    /** The target ran the request and sent a complete response. */
    record Ran(BufferedResponse response) implements GuardReply {

        /** Throws a {@link NullPointerException} when the response is null. */
        public Ran {
            Objects.requireNonNull(response, "answer is null");
        }
    }

    /**
     * The request did not run and will not.
     *
     * @param isRejectedByTarget whether the request reached the target, which rejected it
     * @param retryAfter after which time a slot is expected to be free; zero when nothing is known
     */
    record NotRun(String reason, boolean isRejectedByTarget, Duration retryAfter) implements GuardReply {

        /** Throws a {@link NullPointerException} when a component is null. */
        public NotRun {
            Objects.requireNonNull(reason, "reason is null");
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }

        /** Returns whether the guard had no room for the request on arrival. */
        public boolean isForLackOfRoom() {
            return REASONS_FOR_LACK_OF_ROOM.contains(reason);
        }

        /** Returns whether the guard knows of a version that removed the key of the request. */
        boolean isForRemovedKey() {
            return !isRejectedByTarget && reason.equals(SlotDecision.Reason.KEY_REMOVED.name());
        }

        /** Returns whether the target rejected the request for lack of room. */
        boolean isShedByTarget() {
            return isRejectedByTarget && TargetReplies.isShed(reason);
        }

        /** Returns whether the guard had no room for the request after it had waited there. */
        public boolean isOvertaken() {
            return reason.equals(SlotDecision.Reason.OVERTAKEN.name());
        }
    }

    /**
     * The request did not run and will not, as targets have ended under it.
     *
     * @param retryAfter when it may run again
     */
    record Quarantined(Duration retryAfter) implements GuardReply {

        /** Throws a {@link NullPointerException} when the duration is null. */
        public Quarantined {
            Objects.requireNonNull(retryAfter, "retryAfter is null");
        }
    }

    /** The request may have run; there is no response that can be passed on. */
    record Unknown(Cause cause, String reason) implements GuardReply {

        /** Throws a {@link NullPointerException} when a component is null. */
        public Unknown {
            Objects.requireNonNull(cause, "cause is null");
            Objects.requireNonNull(reason, "reason is null");
        }

        /** Returns an outcome about which nothing more is known. */
        static Unknown of(String reason) {
            return new Unknown(Cause.UNANSWERED, reason);
        }
    }

    /** Why the outcome of a request is unknown. */
    enum Cause {
        /** The response was lost, late or unusable. */
        UNANSWERED,
        /** No reply of the guard arrived before the deadline. */
        TIMED_OUT,
        /** The target ended while it ran the request. */
        TARGET_ENDED,
        /** The connection to the guard broke. */
        GUARD_LOST
    }

    /** The attempt was cancelled: its client disconnected, its deadline passed, or the guard became unreachable. */
    record Abandoned() implements GuardReply {}
}
