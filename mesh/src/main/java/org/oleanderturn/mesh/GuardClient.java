package org.oleanderturn.mesh;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.proxy.BodyAllowance;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.OutboundRequest;
import org.oleanderturn.proxy.ProxyHeaders;
import org.oleanderturn.proxy.ResponseMatcher;
import org.oleanderturn.proxy.SendPolicy;
import org.oleanderturn.proxy.UpstreamExchange;
import org.oleanderturn.proxy.UpstreamFailure;
import org.oleanderturn.traffic.TargetLoadTracker;

/**
 * Sends requests to guards: to this node's guard by a method call, to those of other nodes over HTTP.
 *
 * <p>Invariant: the load and the target's condition that a guard reports with its reply are recorded before the reply is
 * returned. Thread safe.
 */
public final class GuardClient {
    /** Retransmission of a lost packet takes a second; giving up earlier and trying another node is faster. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /** How long an unreachable node is avoided; membership detects the failure in about the same time. */
    private static final Duration AVOIDANCE = Duration.ofSeconds(1);

    /** This node and its guard. */
    private record LocalGuard(NodeId node, MeshGuard guard) {}

    private final Optional<LocalGuard> localGuard;
    private final UpstreamExchange client;
    private final TargetLoadTracker loads;
    private final TargetConditions conditions;

    private GuardClient(
            Optional<LocalGuard> localGuard,
            UpstreamExchange client,
            TargetLoadTracker loads,
            TargetConditions conditions) {
        this.localGuard = localGuard;
        this.client = client;
        this.loads = loads;
        this.conditions = conditions;
    }

    /** Returns the client of a node that runs a guard itself. */
    public static GuardClient of(
            NodeId node,
            MeshGuard guard,
            UpstreamExchange client,
            TargetLoadTracker loads,
            TargetConditions conditions) {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(guard, "guard is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(loads, "loads is null");
        Objects.requireNonNull(conditions, "conditions is null");
        return new GuardClient(Optional.of(new LocalGuard(node, guard)), client, loads, conditions);
    }

    /** Returns a client that reaches every guard over HTTP. */
    static GuardClient remoteOnly(UpstreamExchange client, TargetLoadTracker loads, TargetConditions conditions) {
        return new GuardClient(Optional.empty(), client, loads, conditions);
    }

    /** Returns the rank of the most urgent request that runs at this node's target; empty if none does. */
    OptionalInt mostUrgentLocalRank() {
        return localGuard.map(local -> local.guard().mostUrgentRunningRank()).orElse(OptionalInt.empty());
    }

    /** Sends a request to the guard of an endpoint and returns its reply; blocks. */
    GuardReply call(Endpoint endpoint, GuardRequest request) {
        Optional<LocalGuard> local = localGuard.filter(guard -> guard.node().equals(endpoint.node()));
        return local.isPresent()
                ? callLocal(local.get(), request)
                : callRemote(endpoint.node(), endpoint.address(), request);
    }

    /** Returns whether an endpoint is the target of this node. */
    boolean isLocal(Endpoint endpoint) {
        return localGuard.filter(guard -> guard.node().equals(endpoint.node())).isPresent();
    }

    /** Returns whether the node of an endpoint accepts a connection within the given time; blocks. */
    boolean isListening(Endpoint endpoint, Duration timeout) {
        return client.isListening(endpoint.address(), timeout);
    }

    private GuardReply callLocal(LocalGuard local, GuardRequest request) {
        GuardReply reply = local.guard().execute(request);
        loads.recordReport(local.node(), local.guard().load());
        local.guard().condition().ifPresent(conditions::merge);
        return reply;
    }

    private GuardReply callRemote(NodeId node, Address address, GuardRequest request) {
        Either<UpstreamFailure, BufferedResponse> response = client.exchange(
                address,
                outboundRequest(request),
                ResponseMatcher.framed(),
                new BodyAllowance(MeshGuard.BODY_LIMIT_BYTES, request.bodies()),
                request.cancellation());
        if (response.isLeft()) {
            return replyForFailure(node, response.getLeft());
        }
        GuardReplyCodec.decodeLoad(response.get()).ifPresent(load -> loads.recordReport(node, load));
        GuardReplyCodec.decodeCondition(node, response.get()).ifPresent(conditions::merge);
        return GuardReplyCodec.decode(response.get());
    }

    private GuardReply replyForFailure(NodeId node, UpstreamFailure failure) {
        return switch (failure) {
            case UpstreamFailure.NotSent notSent
            when notSent.cause() == UpstreamFailure.Cause.CANCELLED ->
                new GuardReply.NotRun("CANCELLED", false, Duration.ZERO);
            case UpstreamFailure.NotSent notSent -> {
                loads.avoid(node, AVOIDANCE.toNanos());
                yield new GuardReply.NotRun("GUARD_" + notSent.cause(), false, Duration.ZERO);
            }
            case UpstreamFailure.ResponseLost lost -> {
                loads.avoid(node, AVOIDANCE.toNanos());
                yield new GuardReply.Unknown(GuardReply.Cause.GUARD_LOST, "GUARD_LOST: " + lost.reason());
            }
            case UpstreamFailure.LimitExceeded exceeded ->
                GuardReply.Unknown.of("GUARD_ANSWER_LIMIT_" + exceeded.limit());
            case UpstreamFailure.TimedOut _ -> new GuardReply.Unknown(GuardReply.Cause.TIMED_OUT, "GUARD_TIMED_OUT");
            case UpstreamFailure.Cancelled _ -> new GuardReply.Abandoned();
        };
    }

    private static OutboundRequest outboundRequest(GuardRequest request) {
        List<HeaderField> headers = new ArrayList<>(request.headers());
        headers.addAll(request.metadata().headers());
        boolean isShorterTimeout = request.timeout().compareTo(CONNECT_TIMEOUT) < 0;
        return new OutboundRequest(
                        request.method(),
                        request.path(),
                        headers,
                        request.body(),
                        request.metadata().kind().isIdempotent() ? SendPolicy.POOLED_UNCHECKED : SendPolicy.POOLED,
                        isShorterTimeout ? request.timeout() : CONNECT_TIMEOUT,
                        request.timeout())
                .withTimeLimitHeader(ProxyHeaders.DEADLINE);
    }
}
