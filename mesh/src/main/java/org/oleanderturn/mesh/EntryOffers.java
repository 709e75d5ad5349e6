package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.Objects;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.traffic.OfferThrottle;

/**
 * Decides whether a request is offered to targets while these refuse most offers, and records what became of the offers.
 *
 * <p>For the thread that runs the dispatch of the request.
 */
final class EntryOffers {
    /** The reason of a request that was offered to no target, as they refuse most. */
    private static final String SERVICE_FULL = "SERVICE_FULL";

    private final MeshRequest request;
    private final MeshEntryDependencies dependencies;

    EntryOffers(MeshRequest request, MeshEntryDependencies dependencies) {
        this.request = Objects.requireNonNull(request, "request is null");
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies is null");
    }

    /** Returns whether to offer the request to a target while most offers are refused; a slot that is free is always used. */
    boolean isOffered(Endpoint endpoint) {
        return dependencies.loads().hasFreeSlot(endpoint.node()) || throttle().tryOffer(request.organisationName());
    }

    /** Returns the reply to a request that was offered to no target. */
    GuardReply withhold() {
        request.organisationName()
                .ifPresent(organisation -> dependencies
                        .decisionLog()
                        .record(new Decision.Withheld(
                                request.attemptId(),
                                SERVICE_FULL,
                                request.rank(),
                                organisation,
                                throttle().isOverShare(organisation))));
        return new GuardReply.NotRun(SERVICE_FULL, false, throttle().expectedWait());
    }

    void record(GuardReply reply, Duration duration) {
        switch (reply) {
            case GuardReply.Ran _, GuardReply.Unknown _ -> throttle().recordTaken();
            case GuardReply.NotRun notRun
            when notRun.isForLackOfRoom() -> throttle().recordRefused(duration, notRun.retryAfter());
            case GuardReply.NotRun notRun
            when notRun.isOvertaken() -> throttle().recordOvertaken(notRun.retryAfter());
            case GuardReply.NotRun _, GuardReply.Abandoned _, GuardReply.Quarantined _ -> {
                // These tell nothing of the room at the target.
            }
        }
    }

    private OfferThrottle throttle() {
        return dependencies.throttles().throttle(request.service(), request.rank());
    }
}
