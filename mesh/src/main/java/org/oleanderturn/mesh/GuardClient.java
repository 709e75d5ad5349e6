package org.oleanderturn.mesh;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.OutboundRequest;
import org.oleanderturn.proxy.ResponseMatcher;
import org.oleanderturn.proxy.SendPolicy;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.proxy.UpstreamFailure;
import org.oleanderturn.traffic.TargetLoadTracker;

/**
 * Hands requests to guards: to the node's own by a call, to those of other nodes over HTTP.
 *
 * <p>Invariant: the load that a guard tells with its reply is noted before the reply is returned. Thread safe.
 */
public final class GuardClient {
    /** The longest wait for a connection to another node: a lost packet costs a second, another node less. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /** How long a node that could not be reached is avoided; membership finds out within about as long. */
    private static final Duration AVOIDANCE = Duration.ofSeconds(1);

    /** A node and its guard. */
    private record LocalGuard(NodeId node, MeshGuard guard) {}

    private final Optional<LocalGuard> localGuard;
    private final UpstreamClient client;
    private final TargetLoadTracker loads;

    private GuardClient(Optional<LocalGuard> own, UpstreamClient client, TargetLoadTracker board) {
        this.localGuard = own;
        this.client = client;
        this.loads = board;
    }

    /** Returns the calls of a node that has a guard itself. */
    public static GuardClient of(NodeId node, MeshGuard guard, UpstreamClient client, TargetLoadTracker board) {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(guard, "guard is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(board, "board is null");
        return new GuardClient(Optional.of(new LocalGuard(node, guard)), client, board);
    }

    /** Returns calls that all go over HTTP. */
    static GuardClient remoteOnly(UpstreamClient client, TargetLoadTracker board) {
        return new GuardClient(Optional.empty(), client, board);
    }

    /** Hands a request to the guard of an endpoint and returns what became of it; blocks. */
    GuardReply call(Endpoint endpoint, GuardRequest request) {
        Optional<LocalGuard> local = localGuard.filter(known -> known.node().equals(endpoint.node()));
        return local.isPresent()
                ? callLocal(local.get(), request)
                : callRemote(endpoint.node(), endpoint.address(), request);
    }

    private GuardReply callLocal(LocalGuard local, GuardRequest request) {
        GuardReply reply = local.guard().execute(request);
        loads.recordReport(local.node(), local.guard().load());
        return reply;
    }

    private GuardReply callRemote(NodeId node, Address address, GuardRequest request) {
        Either<UpstreamFailure, BufferedResponse> received = client.exchange(
                address,
                outboundRequest(request),
                ResponseMatcher.framed(),
                MeshGuard.BODY_LIMIT_BYTES,
                request.cancellation());
        if (received.isLeft()) {
            return replyForFailure(node, received.getLeft());
        }
        GuardReplyCodec.decodeLoad(received.get()).ifPresent(load -> loads.recordReport(node, load));
        return GuardReplyCodec.decode(received.get());
    }

    private GuardReply replyForFailure(NodeId node, UpstreamFailure failure) {
        return switch (failure) {
            case UpstreamFailure.NotSent notSent -> {
                loads.avoid(node, AVOIDANCE.toNanos());
                yield new GuardReply.NotRun("GUARD_" + notSent.cause(), false, Duration.ZERO);
            }
            case UpstreamFailure.ResponseLost lost -> {
                loads.avoid(node, AVOIDANCE.toNanos());
                yield new GuardReply.Unknown("GUARD_LOST: " + lost.reason());
            }
            case UpstreamFailure.TimedOut _ -> new GuardReply.Unknown("GUARD_TIMED_OUT");
            case UpstreamFailure.Cancelled _ -> new GuardReply.Abandoned();
        };
    }

    private static OutboundRequest outboundRequest(GuardRequest request) {
        List<HeaderField> headers = new ArrayList<>(request.headers());
        headers.addAll(request.metadata().headers());
        boolean isShort = request.timeout().compareTo(CONNECT_TIMEOUT) < 0;
        return new OutboundRequest(
                request.method(),
                request.path(),
                headers,
                request.body(),
                request.metadata().kind().isIdempotent() ? SendPolicy.POOLED_UNCHECKED : SendPolicy.POOLED,
                isShort ? request.timeout() : CONNECT_TIMEOUT,
                request.timeout());
    }
}
