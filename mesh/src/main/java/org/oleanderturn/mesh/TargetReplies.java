package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.ArrayList;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.HeaderValues;
import org.oleanderturn.proxy.UpstreamFailure;

/**
 * Decides what a guard replies after an exchange with its target.
 *
 * <p>Invariant: a reply is {@link GuardReply.NotRun} only if nothing was sent, or if the target says it of this very request.
 * Stateless and thread safe.
 */
final class TargetReplies {
    private static final String PREFIX = "TARGET_";

    /** The reason of a request that was not sent, as the target refused the connection. */
    static final String REFUSED = PREFIX + UpstreamFailure.Cause.REFUSED;

    private static final String REJECTED = PREFIX + "REJECTED_";

    private TargetReplies() {}

    /** Returns whether a target rejected a request for lack of room, as the reason of the reply says. */
    static boolean isShed(String reason) {
        return reason.equals(REJECTED + HttpStatuses.SERVICE_UNAVAILABLE)
                || reason.equals(REJECTED + HttpStatuses.TOO_MANY_REQUESTS);
    }

    /** Returns the reply to a request without a response. */
    static GuardReply forFailure(UpstreamFailure failure) {
        return switch (failure) {
            case UpstreamFailure.NotSent notSent ->
                new GuardReply.NotRun(PREFIX + notSent.cause(), false, Duration.ZERO);
            case UpstreamFailure.ResponseLost lost -> GuardReply.Unknown.of("ANSWER_LOST: " + lost.reason());
            case UpstreamFailure.LimitExceeded exceeded -> GuardReply.Unknown.of("ANSWER_LIMIT_" + exceeded.limit());
            case UpstreamFailure.TimedOut _ -> GuardReply.Unknown.of("TIMED_OUT");
            case UpstreamFailure.Cancelled _ -> new GuardReply.Abandoned();
        };
    }

    /**
     * Returns the reply to a request with a response. A faulty target may write an earlier response once more, and one that
     * names no attempt may be such a copy, so it is believed only where it promises nothing.
     *
     * @param attemptId the id of the attempt that was sent; empty if it has none
     */
    static GuardReply forResponse(BufferedResponse response, TargetResponseMetadata metadata, String attemptId) {
        boolean isIdentified = metadata.attemptId().isPresent() || attemptId.isEmpty();
        boolean isNotRun = metadata.isNotExecuted() || response.status() == HttpStatuses.MISDIRECTED_REQUEST;
        boolean isSuccess = HttpStatuses.isSuccess(response.status());
        boolean isPromise = isNotRun || isSuccess || HttpStatuses.isNotRunGuarantee(response.status());
        if (isPromise && !isIdentified) {
            return GuardReply.Unknown.of("UNIDENTIFIED_" + response.status());
        }
        if (isNotRun) {
            return new GuardReply.NotRun(REJECTED + response.status(), true, Duration.ZERO);
        }
        if (isSuccess && !metadata.isSigned()) {
            return GuardReply.Unknown.of("UNSIGNED");
        }
        if (HttpStatuses.isNotRunGuarantee(response.status())) {
            return GuardReply.Unknown.of("PROMISE_WITHOUT_PROOF_" + response.status());
        }
        return new GuardReply.Ran(withoutHopHeaders(response));
    }

    private static BufferedResponse withoutHopHeaders(BufferedResponse response) {
        return new BufferedResponse(
                response.status(), new ArrayList<>(HeaderValues.forwardable(response.headers())), response.body());
    }
}
