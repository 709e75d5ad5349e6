package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.traffic.LoadReport;

/**
 * A decision that touches a request, with the inputs that decided it.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface Decision {

    /** Returns the attempt id of the request. */
    String attemptId();

    /** Returns whether the decision was that the request does not get its target's answer. */
    boolean isFailure();

    /**
     * An entry sends the request to a guard.
     *
     * @param reportAgeMilliseconds the age of the load report that the choice rests on
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

        /** Checks that every part is there. */
        public Placed {
            Objects.requireNonNull(attemptId, "attemptId is null");
            Objects.requireNonNull(route, "route is null");
            Objects.requireNonNull(service, "service is null");
            Objects.requireNonNull(node, "node is null");
            Objects.requireNonNull(version, "version is null");
            Objects.requireNonNull(report, "report is null");
            Objects.requireNonNull(remaining, "left is null");
        }

        @Override
        public boolean isFailure() {
            return false;
        }
    }

    /** A guard ran the request, or did not. */
    record Guarded(
            String attemptId, int attempt, GuardReply reply, Duration slotWait, LoadReport load, TargetStatus target)
            implements Decision {

        /** Checks that every part is there. */
        public Guarded {
            Objects.requireNonNull(attemptId, "attemptId is null");
            Objects.requireNonNull(reply, "reply is null");
            Objects.requireNonNull(slotWait, "waited is null");
            Objects.requireNonNull(load, "load is null");
            Objects.requireNonNull(target, "target is null");
        }

        @Override
        public boolean isFailure() {
            return !(reply instanceof GuardReply.Ran ran
                    && HttpStatuses.isSuccess(ran.answer().status()));
        }
    }

    /** An attempt ended without an answer that is delivered; whether the request is sent again follows. */
    record AttemptFailed(
            String attemptId, int attempt, NodeId node, GuardReply reply, Duration duration, boolean isRetried)
            implements Decision {

        /** Checks that every part is there. */
        public AttemptFailed {
            Objects.requireNonNull(attemptId, "attemptId is null");
            Objects.requireNonNull(node, "node is null");
            Objects.requireNonNull(reply, "reply is null");
            Objects.requireNonNull(duration, "taken is null");
        }

        @Override
        public boolean isFailure() {
            return true;
        }
    }

    /**
     * An entry answers the client.
     *
     * @param attempts requests that were sent to guards
     * @param retryAfter when the client is asked to come back
     */
    record Answered(
            String attemptId,
            int status,
            String reason,
            int attempts,
            Duration duration,
            Optional<Duration> retryAfter,
            ConfigurationVersion version)
            implements Decision {

        /** Checks that every part is there. */
        public Answered {
            Objects.requireNonNull(attemptId, "attemptId is null");
            Objects.requireNonNull(reason, "reason is null");
            Objects.requireNonNull(duration, "taken is null");
            Objects.requireNonNull(retryAfter, "retryAfter is null");
            Objects.requireNonNull(version, "version is null");
        }

        @Override
        public boolean isFailure() {
            return !HttpStatuses.isSuccess(status);
        }
    }
}
