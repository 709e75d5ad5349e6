package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.Objects;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.NodeId;

/**
 * Calls guards, and keeps the crash monitor informed should a guard's node or target end meanwhile.
 *
 * <p>Immutable and thread safe.
 */
final class WatchedExchange {
    /** How long the node of a lost guard may take to accept the connection that shows that it lives. */
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(300);

    private final GuardClient client;
    private final CrashMonitor crashMonitor;

    private WatchedExchange(GuardClient client, CrashMonitor crashMonitor) {
        this.client = client;
        this.crashMonitor = crashMonitor;
    }

    static WatchedExchange of(GuardClient client, CrashMonitor crashMonitor) {
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(crashMonitor, "crashMonitor is null");
        return new WatchedExchange(client, crashMonitor);
    }

    /** Calls the guard of an endpoint; blocks. The guard of this node keeps the monitor informed itself. */
    GuardReply call(Endpoint endpoint, GuardRequest request) {
        if (client.isLocal(endpoint)) {
            return client.call(endpoint, request);
        }
        NodeId node = endpoint.node();
        CrashMonitor.Run attempt =
                crashMonitor.beginAttempt(node, request.client().attemptId(), request.identity());
        GuardReply reply = client.call(endpoint, request);
        switch (reply) {
            case GuardReply.Ran _, GuardReply.NotRun _, GuardReply.Quarantined _ ->
                crashMonitor.completeAttempt(node, attempt);
            case GuardReply.Abandoned _ -> crashMonitor.giveUpAttempt(node, attempt);
            case GuardReply.Unknown unknown -> recordUnknown(endpoint, attempt, unknown.cause());
        }
        return reply;
    }

    private void recordUnknown(Endpoint endpoint, CrashMonitor.Run attempt, GuardReply.Cause cause) {
        switch (cause) {
            case UNANSWERED, TIMED_OUT -> crashMonitor.giveUpAttempt(endpoint.node(), attempt);
            case TARGET_ENDED -> crashMonitor.recordTargetEnded(endpoint.node(), attempt);
            case GUARD_LOST -> {
                if (!client.isListening(endpoint, PROBE_TIMEOUT)) {
                    crashMonitor.endNode(endpoint.node());
                }
                crashMonitor.giveUpAttempt(endpoint.node(), attempt);
            }
        }
    }
}
