package org.oleanderturn.mesh;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.HeaderValues;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.OutboundRequest;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.proxy.ResponseMatcher;
import org.oleanderturn.proxy.SendPolicy;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.proxy.UpstreamFailure;
import org.oleanderturn.traffic.LoadReport;
import org.oleanderturn.traffic.SlotDecision;
import org.oleanderturn.traffic.SlotQueue;
import org.oleanderturn.traffic.SlotRequest;
import org.oleanderturn.traffic.SlotState;
import org.oleanderturn.traffic.SlotTicket;

/**
 * Runs other nodes' requests on the local target, no more at once than it has slots.
 *
 * <p>Invariants: a request is sent to the target at most once; "not run" is said only of a request that was not sent, or
 * that the target says it did not run; nothing is sent to a target that leaves. Thread safe.
 */
public final class MeshGuard implements RequestHandler {
    /** The longest body that is taken from a target or a node; the users' configurations allow no longer one. */
    static final int BODY_LIMIT_BYTES = 64 * 1024 * 1024;

    /** The share of its time that a request may wait for a slot; the rest is for the run. */
    private static final double MAXIMUM_WAIT_SHARE = 0.6;

    /** The longest wait for a connection to the target, which stands on the same host. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final Address address;
    private final LocalTarget target;
    private final SlotQueue slots;
    private final LatencyRatio latencyRatio;
    private final UpstreamClient client;
    private final ProtocolAdapter adapter;
    private final DecisionLog decisionLog;
    private final LongSupplier clockNanoseconds;

    private MeshGuard(
            Address address,
            LocalTarget target,
            SlotQueue slots,
            UpstreamClient client,
            ProtocolAdapter dialect,
            DecisionLog decisions,
            LongSupplier nanoseconds) {
        this.address = address;
        this.target = target;
        this.slots = slots;
        this.latencyRatio = LatencyRatio.create();
        this.client = client;
        this.adapter = dialect;
        this.decisionLog = decisions;
        this.clockNanoseconds = nanoseconds;
    }

    /** Returns the guard of the target at an address. */
    public static MeshGuard of(
            Address address,
            LocalTarget target,
            SlotQueue slots,
            UpstreamClient client,
            ProtocolAdapter dialect,
            DecisionLog decisions,
            LongSupplier nanoseconds) {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(slots, "slots is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(dialect, "dialect is null");
        Objects.requireNonNull(decisions, "decisions is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        return new MeshGuard(address, target, slots, client, dialect, decisions, nanoseconds);
    }

    // -- queries

    /** Returns the load of the target. */
    public LoadReport load() {
        SlotState state = slots.state();
        int open = state.isOpen() ? state.slots() : 0;
        return new LoadReport(open, state.running(), state.waiting(), latencyRatio.percent());
    }

    // -- commands

    @Override
    public Response handle(InboundRequest request) throws IOException {
        Either<String, GuardRequestMetadata> order = GuardRequestMetadata.decode(request);
        Optional<byte[]> body = request.readBody(BODY_LIMIT_BYTES);
        if (order.isLeft() || body.isEmpty()) {
            return GuardReplyCodec.encode(new GuardReply.NotRun("MALFORMED", false, Duration.ZERO), load());
        }
        GuardRequest run = new GuardRequest(
                request.method(),
                request.path(),
                HeaderValues.forwardable(request.headers()),
                body.get(),
                adapter.clientMetadata(request),
                order.get(),
                order.get().remaining(),
                Cancellation.create());
        request.onPeerDisconnect(run.cancellation()::cancel);
        return GuardReplyCodec.encode(execute(run), load());
    }

    /** Runs a request when the target has a slot for it in time, and returns what became of it; blocks. */
    GuardReply execute(GuardRequest run) {
        if (!run.metadata().service().equals(target.service())) {
            return new GuardReply.NotRun("WRONG_SERVICE", false, Duration.ZERO);
        }
        long begun = clockNanoseconds.getAsLong();
        Duration left = run.metadata().remaining();
        Duration longestWait = Duration.ofNanos((long) (left.toNanos() * MAXIMUM_WAIT_SHARE));
        SlotTicket ticket = slots.request(slotDemand(run.metadata(), longestWait));
        try {
            SlotDecision decision = awaitSlot(run, ticket, longestWait);
            GuardReply reply = replyForDecision(run, decision, begun);
            decisionLog.record(new Decision.Guarded(
                    run.client().attemptId(),
                    run.metadata().attempt(),
                    reply,
                    ticket.waited(),
                    load(),
                    target.status()));
            return reply;
        } finally {
            slots.release(ticket);
        }
    }

    private SlotRequest slotDemand(GuardRequestMetadata order, Duration longestWait) {
        Duration expectedRun = latencyRatio.expectedDuration(order.targetLatency());
        Duration worthWhile = order.targetLatency().minus(order.elapsed());
        return new SlotRequest(order.rank(), expectedRun, worthWhile, longestWait);
    }

    private SlotDecision awaitSlot(GuardRequest run, SlotTicket ticket, Duration longest) {
        run.cancellation().onCancel(() -> slots.withdraw(ticket));
        try {
            Optional<SlotDecision> decision = ticket.await(longest);
            if (decision.isEmpty()) {
                slots.withdraw(ticket);
            }
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
            slots.withdraw(ticket);
        }
        return ticket.decision()
                .orElseGet(() -> new SlotDecision.Refused(SlotDecision.Reason.WITHDRAWN, Duration.ZERO));
    }

    private GuardReply replyForDecision(GuardRequest run, SlotDecision decision, long begun) {
        return switch (decision) {
            case SlotDecision.Refused refused ->
                new GuardReply.NotRun(refused.reason().name(), false, refused.expectedWait());
            case SlotDecision.Granted _ -> {
                Optional<TargetStart> start = target.activeStart();
                if (start.isEmpty() || run.cancellation().isCancelled()) {
                    yield new GuardReply.NotRun(SlotDecision.Reason.CLOSED.name(), false, Duration.ZERO);
                }
                yield send(run, start.get(), begun);
            }
        };
    }

    // -- exchange

    private GuardReply send(GuardRequest run, TargetStart start, long begun) {
        long sentNanoseconds = clockNanoseconds.getAsLong();
        Duration left = run.metadata().remaining().minusNanos(sentNanoseconds - begun);
        if (!left.isPositive()) {
            return new GuardReply.NotRun("DEADLINE", false, Duration.ZERO);
        }
        List<HeaderField> headers = adapter.targetHeaders(
                run.headers(), run.client(), run.metadata().caller(), left, start.instance());
        SendPolicy delivery = run.metadata().kind() == RequestKind.SINGLE
                ? SendPolicy.RECENT_CONNECTION
                : SendPolicy.POOLED_UNCHECKED;
        OutboundRequest outbound =
                new OutboundRequest(run.method(), run.path(), headers, run.body(), delivery, CONNECT_TIMEOUT, left);
        ResponseMatcher expectation = ResponseMatcher.matching(fields -> isForAttempt(fields, run.client()));
        Either<UpstreamFailure, BufferedResponse> answer =
                client.exchange(address, outbound, expectation, BODY_LIMIT_BYTES, run.cancellation());
        Duration taken = Duration.ofNanos(clockNanoseconds.getAsLong() - sentNanoseconds);
        return answer.fold(this::replyForFailure, whole -> replyForAnswer(whole, run.metadata(), taken));
    }

    private boolean isForAttempt(List<HeaderField> headers, ClientRequestMetadata identity) {
        Optional<String> echoed = adapter.answerMetadata(headers).attemptId();
        return echoed.isEmpty() || echoed.get().equals(identity.attemptId());
    }

    private GuardReply replyForFailure(UpstreamFailure failure) {
        return switch (failure) {
            case UpstreamFailure.NotSent notSent -> {
                if (notSent.cause() == UpstreamFailure.Cause.CONNECTION_REFUSED) {
                    target.markDown();
                }
                yield new GuardReply.NotRun("TARGET_" + notSent.cause(), false, Duration.ZERO);
            }
            case UpstreamFailure.ResponseLost lost -> new GuardReply.Unknown("ANSWER_LOST: " + lost.reason());
            case UpstreamFailure.TimedOut _ -> new GuardReply.Unknown("TIMED_OUT");
            case UpstreamFailure.Cancelled _ -> new GuardReply.Abandoned();
        };
    }

    private GuardReply replyForAnswer(BufferedResponse answer, GuardRequestMetadata order, Duration taken) {
        TargetAnswerMetadata signals = adapter.answerMetadata(answer.headers());
        if (signals.isNotExecuted() || answer.status() == HttpStatuses.MISDIRECTED_REQUEST) {
            return new GuardReply.NotRun("TARGET_REJECTED_" + answer.status(), true, Duration.ZERO);
        }
        if (!signals.isSigned() && HttpStatuses.isSuccess(answer.status())) {
            return new GuardReply.Unknown("UNSIGNED");
        }
        if (HttpStatuses.isNotRunGuarantee(answer.status())) {
            return new GuardReply.Unknown("PROMISE_WITHOUT_PROOF_" + answer.status());
        }
        if (HttpStatuses.isSuccess(answer.status())) {
            latencyRatio.record(taken, order.targetLatency());
        }
        return new GuardReply.Ran(withoutHopHeaders(answer));
    }

    private static BufferedResponse withoutHopHeaders(BufferedResponse answer) {
        return new BufferedResponse(
                answer.status(), new ArrayList<>(HeaderValues.forwardable(answer.headers())), answer.body());
    }
}
