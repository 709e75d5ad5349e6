package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.List;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.ServiceName;

/** Which targets a request may go to while a service's requests move to a new version. Implementations are thread safe. */
public interface RolloutPlacement {

    /** Returns a placement without rollouts, in which versions make no difference. */
    static RolloutPlacement none() {
        return Unrestricted.INSTANCE;
    }

    /**
     * Returns the endpoints that a request may go to, and counts it as one of the service's requests if it is the first
     * attempt.
     */
    List<Endpoint> eligible(ServiceName service, List<Endpoint> known, boolean isFirstAttempt);

    /** Records that an attempt begins. */
    void recordSent(ServiceName service, Endpoint endpoint);

    /** Records that an attempt has ended, with or without a reply. */
    void recordEnded(ServiceName service, Endpoint endpoint);

    /** Records an answer that counts for or against the version of its target. */
    void recordAnswer(ServiceName service, RouteName route, Endpoint endpoint, boolean isBad, Duration duration);

    /**
     * Records what a reply says of the version of the target; what did not run says nothing.
     *
     * @param isOverdue whether the attempt was given up because the time of the request was over
     */
    default void recordReply(
            ServiceName service,
            RouteName route,
            Endpoint endpoint,
            GuardReply reply,
            boolean isOverdue,
            Duration duration) {
        switch (reply) {
            case GuardReply.Ran ran -> {
                boolean isBad = ran.response().status() >= HttpStatuses.INTERNAL_SERVER_ERROR;
                recordAnswer(service, route, endpoint, isBad, duration);
            }
            case GuardReply.Unknown _ -> recordAnswer(service, route, endpoint, true, duration);
            case GuardReply.Abandoned _ when isOverdue -> recordAnswer(service, route, endpoint, true, duration);
            case GuardReply.Abandoned _, GuardReply.NotRun _, GuardReply.Quarantined _ -> {
                // Not begun, or given up by the client.
            }
        }
    }

    /** Makes no difference between versions. */
    enum Unrestricted implements RolloutPlacement {
        /** The only instance. */
        INSTANCE;

        @Override
        public List<Endpoint> eligible(ServiceName service, List<Endpoint> known, boolean isFirstAttempt) {
            return known;
        }

        @Override
        public void recordSent(ServiceName service, Endpoint endpoint) {
            // Nothing is counted.
        }

        @Override
        public void recordEnded(ServiceName service, Endpoint endpoint) {
            // Nothing is counted.
        }

        @Override
        public void recordAnswer(
                ServiceName service, RouteName route, Endpoint endpoint, boolean isBad, Duration duration) {
            // Nothing is counted.
        }
    }
}
