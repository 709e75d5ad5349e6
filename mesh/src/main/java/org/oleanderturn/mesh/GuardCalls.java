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
public final class GuardCalls {
    /** The longest wait for a connection to another node: a lost packet costs a second, another node less. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /** How long a node that could not be reached is avoided; membership finds out within about as long. */
    private static final Duration AVOIDED = Duration.ofSeconds(1);

    /** A node and its guard. */
    private record Own(NodeId node, MeshGuard guard) {}

    private final Optional<Own> own;
    private final UpstreamClient client;
    private final TargetLoadTracker board;

    private GuardCalls(Optional<Own> own, UpstreamClient client, TargetLoadTracker board) {
        this.own = own;
        this.client = client;
        this.board = board;
    }

    /** Returns the calls of a node that has a guard itself. */
    public static GuardCalls of(NodeId node, MeshGuard guard, UpstreamClient client, TargetLoadTracker board) {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(guard, "guard is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(board, "board is null");
        return new GuardCalls(Optional.of(new Own(node, guard)), client, board);
    }

    /** Returns calls that all go over HTTP. */
    static GuardCalls remote(UpstreamClient client, TargetLoadTracker board) {
        return new GuardCalls(Optional.empty(), client, board);
    }

    /** Hands a request to the guard of an endpoint and returns what became of it; blocks. */
    GuardReply call(Endpoint endpoint, GuardRequest request) {
        Optional<Own> local = own.filter(known -> known.node().equals(endpoint.node()));
        return local.isPresent()
                ? callOwn(local.get(), request)
                : callRemote(endpoint.node(), endpoint.address(), request);
    }

    private GuardReply callOwn(Own local, GuardRequest request) {
        GuardReply reply = local.guard().admit(request);
        board.recordReport(local.node(), local.guard().load());
        return reply;
    }

    private GuardReply callRemote(NodeId node, Address address, GuardRequest request) {
        Either<UpstreamFailure, BufferedResponse> received = client.exchange(
                address,
                outbound(request),
                ResponseMatcher.framed(),
                MeshGuard.BODY_LIMIT_BYTES,
                request.cancellation());
        if (received.isLeft()) {
            return failed(node, received.getLeft());
        }
        GuardAnswers.load(received.get()).ifPresent(load -> board.recordReport(node, load));
        return GuardAnswers.read(received.get());
    }

    private GuardReply failed(NodeId node, UpstreamFailure failure) {
        return switch (failure) {
            case UpstreamFailure.NotSent notSent -> {
                board.avoid(node, AVOIDED.toNanos());
                yield new GuardReply.NotRun("GUARD_" + notSent.cause(), false, Duration.ZERO);
            }
            case UpstreamFailure.ResponseLost lost -> {
                board.avoid(node, AVOIDED.toNanos());
                yield new GuardReply.Unknown("GUARD_LOST: " + lost.reason());
            }
            case UpstreamFailure.TimedOut _ -> new GuardReply.Unknown("GUARD_TIMED_OUT");
            case UpstreamFailure.Cancelled _ -> new GuardReply.Abandoned();
        };
    }

    private static OutboundRequest outbound(GuardRequest request) {
        List<HeaderField> headers = new ArrayList<>(request.headers());
        headers.addAll(request.order().headers());
        boolean isShort = request.patience().compareTo(CONNECT_TIMEOUT) < 0;
        return new OutboundRequest(
                request.method(),
                request.path(),
                headers,
                request.body(),
                request.order().kind().isIdempotent() ? SendPolicy.POOLED_UNCHECKED : SendPolicy.POOLED,
                isShort ? request.patience() : CONNECT_TIMEOUT,
                request.patience());
    }
}
