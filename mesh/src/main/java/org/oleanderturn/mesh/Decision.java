package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.traffic.CrashVerdict;
import org.oleanderturn.traffic.Fingerprint;
import org.oleanderturn.traffic.LoadReport;
import org.oleanderturn.traffic.WindowedRetryBudget;

/**
 * A decision about a request, with the inputs that it was based on; one event of the decision log.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface Decision {

    /** Returns the attempt id of the request. */
    String attemptId();

    /** Returns whether the request, or this attempt at it, did not succeed. */
    boolean isFailure();

    /**
     * An entry sends an attempt to a guard.
     *
     * @param attempt the number of the attempt, from 1
     * @param node the node of the guard
     * @param report the node's last load report, if there was one
     * @param reportAgeMilliseconds the age of that report
     * @param remaining the time until the request's deadline
     */
    record Placed(
            String attemptId,
            int attempt,
            RouteName route,
            ServiceName service,
            NodeId node,
            ConfigurationVersion version,
            Optional<LoadReport> report,
            long reportAgeMilliseconds,
            Duration remaining)
            implements Decision {

        /** Throws a {@link NullPointerException} when a component is null. */
        public Placed {
            Objects.requireNonNull(attemptId, "attemptId is null");
            Objects.requireNonNull(route, "route is null");
            Objects.requireNonNull(service, "service is null");
            Objects.requireNonNull(node, "node is null");
            Objects.requireNonNull(version, "version is null");
            Objects.requireNonNull(report, "report is null");
            Objects.requireNonNull(remaining, "remaining is null");
        }

        @Override
        public boolean isFailure() {
            return false;
        }
    }

    /**
     * A guard ran an attempt or refused it.
     *
     * @param share by which rank and share the slot was decided
     * @param stages how long the attempt spent in each stage
     * @param load the target's load after the attempt
     * @param requestsPerSecond the rate that the target takes; empty if it doesn't limit it
     */
    record Guarded(
            String attemptId,
            int attempt,
            GuardReply reply,
            SlotShare share,
            GuardStages stages,
            LoadReport load,
            TargetStatus target,
            OptionalDouble requestsPerSecond)
            implements Decision {

        /** Throws a {@link NullPointerException} when a component is null. */
        public Guarded {
            Objects.requireNonNull(attemptId, "attemptId is null");
            Objects.requireNonNull(reply, "reply is null");
            Objects.requireNonNull(share, "share is null");
            Objects.requireNonNull(stages, "stages is null");
            Objects.requireNonNull(load, "load is null");
            Objects.requireNonNull(target, "target is null");
            Objects.requireNonNull(requestsPerSecond, "requestsPerSecond is null");
        }

        @Override
        public boolean isFailure() {
            return !(reply instanceof GuardReply.Ran ran
                    && HttpStatuses.isSuccess(ran.response().status()));
        }
    }

    /**
     * An entry refuses a request of an organisation itself, as its targets or its own core have no room.
     *
     * @param reason the reason that the client is told
     * @param isOverShare whether fewer requests of the organisation pass than of all others of the rank
     */
    record Withheld(String attemptId, String reason, int rank, OrganisationName organisation, boolean isOverShare)
            implements Decision {

        /** Throws a {@link NullPointerException} when a component is null. */
        public Withheld {
            Objects.requireNonNull(attemptId, "attemptId is null");
            Objects.requireNonNull(reason, "reason is null");
            Objects.requireNonNull(organisation, "organisation is null");
        }

        @Override
        public boolean isFailure() {
            return true;
        }
    }

    /**
     * An attempt ended without a response for the client.
     *
     * @param fingerprint identifies the request in other attempts of its client
     * @param isRetried whether another attempt follows
     * @param retryBudget what this node has used of the service's retry budget
     */
    record AttemptFailed(
            String attemptId,
            int attempt,
            NodeId node,
            GuardReply reply,
            Fingerprint fingerprint,
            Duration duration,
            boolean isRetried,
            WindowedRetryBudget.Usage retryBudget)
            implements Decision {

        /** Throws a {@link NullPointerException} when a component is null. */
        public AttemptFailed {
            Objects.requireNonNull(attemptId, "attemptId is null");
            Objects.requireNonNull(node, "node is null");
            Objects.requireNonNull(reply, "reply is null");
            Objects.requireNonNull(fingerprint, "fingerprint is null");
            Objects.requireNonNull(duration, "duration is null");
            Objects.requireNonNull(retryBudget, "retryBudget is null");
        }

        @Override
        public boolean isFailure() {
            return true;
        }
    }

    /**
     * A target or a node ended while it ran a request, or soon after the request was given up.
     *
     * @param cause what ended
     * @param runs how many requests had no answer when it ended
     * @param level the level of suspicion after it
     */
    record Suspected(String attemptId, Fingerprint fingerprint, String cause, int runs, int level) implements Decision {

        /** Throws a {@link NullPointerException} when a component is null. */
        public Suspected {
            Objects.requireNonNull(attemptId, "attemptId is null");
            Objects.requireNonNull(fingerprint, "fingerprint is null");
            Objects.requireNonNull(cause, "cause is null");
        }

        @Override
        public boolean isFailure() {
            return true;
        }
    }

    /** A guard tries a request under suspicion; {@code level} is the level of suspicion if its target ends now. */
    record SuspectTried(String attemptId, Fingerprint fingerprint, int level) implements Decision {

        /** Throws a {@link NullPointerException} when a component is null. */
        public SuspectTried {
            Objects.requireNonNull(attemptId, "attemptId is null");
            Objects.requireNonNull(fingerprint, "fingerprint is null");
        }

        @Override
        public boolean isFailure() {
            return true;
        }
    }

    /** A request under suspicion completed; {@code level} was its level of suspicion. */
    record SuspectCleared(String attemptId, Fingerprint fingerprint, int level) implements Decision {

        /** Throws a {@link NullPointerException} when a component is null. */
        public SuspectCleared {
            Objects.requireNonNull(attemptId, "attemptId is null");
            Objects.requireNonNull(fingerprint, "fingerprint is null");
        }

        @Override
        public boolean isFailure() {
            return true;
        }
    }

    /** A request is not sent to a target, as targets have ended under it. */
    record Quarantined(String attemptId, Fingerprint fingerprint, CrashVerdict.Quarantined verdict)
            implements Decision {

        /** Throws a {@link NullPointerException} when a component is null. */
        public Quarantined {
            Objects.requireNonNull(attemptId, "attemptId is null");
            Objects.requireNonNull(fingerprint, "fingerprint is null");
            Objects.requireNonNull(verdict, "verdict is null");
        }

        @Override
        public boolean isFailure() {
            return true;
        }
    }

    /**
     * An entry responds to the client.
     *
     * @param attempts the number of attempts sent to guards
     * @param readDelay the estimated time from the arrival of the request until the node read it
     * @param duration from the arrival of the request
     * @param retryAfter when the client is asked to retry
     */
    record Answered(
            String attemptId,
            int status,
            String reason,
            int attempts,
            Duration readDelay,
            Duration duration,
            Optional<Duration> retryAfter,
            ConfigurationVersion version)
            implements Decision {
        /** The reason of a response that comes from the target. */
        static final String DELIVERED = "DELIVERED";

        /** Throws a {@link NullPointerException} when a component is null. */
        public Answered {
            Objects.requireNonNull(attemptId, "attemptId is null");
            Objects.requireNonNull(reason, "reason is null");
            Objects.requireNonNull(readDelay, "readDelay is null");
            Objects.requireNonNull(duration, "duration is null");
            Objects.requireNonNull(retryAfter, "retryAfter is null");
            Objects.requireNonNull(version, "version is null");
        }

        /** Returns whether the response comes from the target, not from the node. */
        public boolean isDelivered() {
            return reason.equals(DELIVERED);
        }

        @Override
        public boolean isFailure() {
            return !HttpStatuses.isSuccess(status);
        }
    }
}
