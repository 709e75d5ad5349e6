package org.oleanderturn.mesh;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.proxy.BodyAllowance;
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
import org.oleanderturn.proxy.UpstreamExchange;
import org.oleanderturn.proxy.UpstreamFailure;
import org.oleanderturn.traffic.AgedReport;
import org.oleanderturn.traffic.CrashVerdict;
import org.oleanderturn.traffic.InducedRetries;
import org.oleanderturn.traffic.LoadReport;
import org.oleanderturn.traffic.SlotDecision;
import org.oleanderturn.traffic.SlotQueue;
import org.oleanderturn.traffic.SlotRequest;
import org.oleanderturn.traffic.SlotState;
import org.oleanderturn.traffic.SlotTicket;
import org.oleanderturn.traffic.SlotWait;

/**
 * Runs requests of entries on the local target, no more at once than the target has slots.
 *
 * <p>Invariants: a request is sent to the target at most once; the reply is {@link GuardReply.NotRun} only for a request that
 * was not sent, or that the target says it did not run; nothing is sent to a target that leaves, and no request whose key is
 * known to be removed. Thread safe.
 */
public final class MeshGuard implements RequestHandler {
    /** The largest body accepted from a target or a node; the users' configurations allow no larger one. */
    static final int BODY_LIMIT_BYTES = 64 * 1024 * 1024;

    /** Short, as the target runs on the same host. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** Keeps a waiting request from looking again and again. */
    private static final Duration SHORTEST_TURN = Duration.ofMillis(1);

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** How long a target may take to accept the connection that shows that it lives; the client may be waiting. */
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(150);

    private final Address address;
    private final LocalTarget target;
    private final SlotQueue slots;
    private final LatencyRatio latencyRatio;
    private final GuardTimes times;
    private final InducedRetries inducedRetries;
    private final UpstreamExchange client;
    private final SlotWait slotWait;
    private final ProtocolAdapter adapter;
    private final CrashMonitor crashMonitor;
    private final DecisionLog decisionLog;
    private final ResponsePacer pacer;
    private final LongSupplier clockNanoseconds;
    private volatile Supplier<List<AgedReport>> others = List::of;
    private volatile Supplier<RouteIndex> routes = RouteIndex::empty;

    private MeshGuard(
            Address address,
            LocalTarget target,
            SlotQueue slots,
            UpstreamExchange client,
            SlotWait slotWait,
            ProtocolAdapter adapter,
            CrashMonitor crashMonitor,
            DecisionLog decisionLog,
            ResponsePacer pacer,
            InducedRetries inducedRetries,
            LongSupplier clockNanoseconds) {
        this.address = address;
        this.target = target;
        this.slots = slots;
        this.latencyRatio = LatencyRatio.create();
        this.times = new GuardTimes(latencyRatio);
        this.client = client;
        this.slotWait = slotWait;
        this.adapter = adapter;
        this.crashMonitor = crashMonitor;
        this.decisionLog = decisionLog;
        this.pacer = pacer;
        this.inducedRetries = inducedRetries;
        this.clockNanoseconds = clockNanoseconds;
    }

    /**
     * Returns the guard of the target at an address.
     *
     * @param inducedRetries accounts for the calls of runs that are themselves retries
     */
    public static MeshGuard of(
            Address address,
            LocalTarget target,
            SlotQueue slots,
            UpstreamExchange client,
            SlotWait slotWait,
            ProtocolAdapter adapter,
            CrashMonitor crashMonitor,
            DecisionLog decisionLog,
            ResponsePacer pacer,
            InducedRetries inducedRetries,
            LongSupplier clockNanoseconds) {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(slots, "slots is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(slotWait, "slotWait is null");
        Objects.requireNonNull(adapter, "adapter is null");
        Objects.requireNonNull(crashMonitor, "crashMonitor is null");
        Objects.requireNonNull(decisionLog, "decisionLog is null");
        Objects.requireNonNull(pacer, "pacer is null");
        Objects.requireNonNull(inducedRetries, "inducedRetries is null");
        Objects.requireNonNull(clockNanoseconds, "clockNanoseconds is null");
        return new MeshGuard(
                address,
                target,
                slots,
                client,
                slotWait,
                adapter,
                crashMonitor,
                decisionLog,
                pacer,
                inducedRetries,
                clockNanoseconds);
    }

    // -- queries

    /** Returns the current load of the target; without slots while it is closed. */
    public LoadReport load() {
        SlotState state = slots.state();
        int open = state.isOpen() ? state.slots() : 0;
        LoadReport report = new LoadReport(open, state.running(), state.waiting(), latencyRatio.percent());
        OptionalDouble limit = requestLimit();
        double runSeconds = state.averageRunNanoseconds() / NANOSECONDS_PER_SECOND;
        return open == 0 || limit.isEmpty()
                ? report
                : report.paced(
                        limit.getAsDouble(), runSeconds, slots.pacingWait().toNanos() / NANOSECONDS_PER_SECOND);
    }

    /** Returns the rank of the most urgent request that runs at the target; empty if none does. */
    OptionalInt mostUrgentRunningRank() {
        return slots.mostUrgentRunningRank();
    }

    /** Returns the condition of the target to tell an entry; empty if the target never asked anything. */
    Optional<TargetCondition> condition() {
        return target.condition();
    }

    private OptionalDouble requestLimit() {
        return target.condition().map(TargetCondition::limit).orElse(OptionalDouble.empty());
    }

    /** Sets what is known of the load of other targets, which replies to other nodes carry along. */
    public void passOn(Supplier<List<AgedReport>> reports) {
        others = Objects.requireNonNull(reports, "reports is null");
    }

    /** Sets the index in force, by which removed keys are known; until then none is. */
    public void checkKeysBy(Supplier<RouteIndex> index) {
        routes = Objects.requireNonNull(index, "index is null");
    }

    // -- commands

    /** Refuses the waiting requests whose keys the index in force no longer has. */
    public void refuseRemovedKeys() {
        slots.refuseRemovedKeys();
    }

    @Override
    public Response handle(InboundRequest request) throws IOException {
        // The entry's time has run since the request arrived, not since it was read.
        Either<String, GuardRequestMetadata> metadata =
                GuardRequestMetadata.decode(request).map(decoded -> decoded.after(request.readDelay()));
        Either<UpstreamFailure.Limit, byte[]> body = request.readReservedBody(BODY_LIMIT_BYTES);
        if (metadata.isLeft() || body.isLeft()) {
            boolean isMemoryFull = body.isLeft() && body.getLeft() == UpstreamFailure.Limit.MEMORY;
            return GuardReplyCodec.encode(
                    new GuardReply.NotRun(isMemoryFull ? "MEMORY_FULL" : "MALFORMED", false, Duration.ZERO),
                    load(),
                    condition());
        }
        ClientRequestMetadata client = adapter.clientMetadata(request);
        GuardRequest guardRequest = new GuardRequest(
                request.method(),
                request.path(),
                HeaderValues.forwardable(request.headers()),
                body.get(),
                RequestIdentity.of(
                        request.method(),
                        client.host(),
                        request.path(),
                        metadata.get().sender(),
                        body.get()),
                client,
                metadata.get(),
                request.readDelay(),
                metadata.get().remaining(),
                request.bodyReservation(),
                Cancellation.create(request::hasPeerLeft));
        request.onPeerDisconnect(guardRequest.cancellation()::cancel);
        GuardReply reply = executeForNode(guardRequest);
        return GuardReplyCodec.withOthers(GuardReplyCodec.encode(reply, load(), condition()), others.get());
    }

    /** Runs a request of another node, to which its response crosses this node's link. */
    private GuardReply executeForNode(GuardRequest request) {
        Duration backlog = pacer.backlog();
        boolean isLarge = request.metadata().kind() == RequestKind.DOWNLOAD;
        if (isLarge && backlog.compareTo(times.maximumLinkWait(request.metadata())) > 0) {
            return new GuardReply.NotRun("LINK_FULL", false, backlog);
        }
        GuardReply reply = execute(request);
        if (reply instanceof GuardReply.Ran ran && !request.cancellation().isCancelled()) {
            pacer.awaitTurn(ran.response().body().length);
        }
        return reply;
    }

    /** Runs a request if the target has a slot for it in time, and returns the outcome; blocks. */
    GuardReply execute(GuardRequest request) {
        if (!request.metadata().service().equals(target.service())) {
            return new GuardReply.NotRun("WRONG_SERVICE", false, Duration.ZERO);
        }
        if (request.metadata().isRepeat() && !inducedRetries.hasRoom()) {
            return overRetryBudget();
        }
        request.metadata()
                .condition()
                .flatMap(text -> TargetCondition.parse(target.node(), text))
                .ifPresent(target::mergeCondition);
        request.metadata().suspicion().ifPresent(crashMonitor::merge);
        if (crashMonitor.verdict(request.identity()) instanceof CrashVerdict.Quarantined verdict) {
            return quarantined(request, verdict);
        }
        long started = clockNanoseconds.getAsLong();
        Duration maximumWait =
                times.maximumWait(request.metadata(), requestLimit().isPresent());
        SlotTicket ticket = slots.request(
                slotRequest(request.metadata(), maximumWait),
                () -> request.metadata().isKeyRemovedBy(routes.get()));
        try {
            SlotDecision decision = awaitSlot(request, ticket, maximumWait);
            long decided = clockNanoseconds.getAsLong();
            GuardReply reply = replyForDecision(request, decision, started);
            recordRoom(reply);
            Duration run = decision instanceof SlotDecision.Granted
                    ? Duration.ofNanos(clockNanoseconds.getAsLong() - decided)
                    : Duration.ZERO;
            decisionLog.record(new Decision.Guarded(
                    request.client().attemptId(),
                    request.metadata().attempt(),
                    reply,
                    SlotShare.of(request.metadata(), ticket, decision),
                    new GuardStages(request.readDelay(), ticket.waited(), run),
                    load(),
                    target.status(),
                    requestLimit()));
            return reply;
        } finally {
            slots.release(ticket);
        }
    }

    /** Lets the queue know whether the target had room for the request that was sent to it. */
    private void recordRoom(GuardReply reply) {
        switch (reply) {
            case GuardReply.Ran _ -> slots.recordRun();
            case GuardReply.NotRun notRun when notRun.isShedByTarget() -> slots.recordShed();
            case GuardReply.NotRun _, GuardReply.Unknown _, GuardReply.Abandoned _, GuardReply.Quarantined _ -> {
                // These tell nothing of the room at the target.
            }
        }
    }

    private SlotRequest slotRequest(GuardRequestMetadata metadata, Duration maximumWait) {
        Duration expectedRun = latencyRatio.expectedDuration(metadata.targetLatency());
        Duration untilTargetLatency = metadata.targetLatency().minus(metadata.elapsed());
        return SlotRequest.within(
                        metadata.targetLatency(), metadata.rank(), expectedRun, untilTargetLatency, maximumWait)
                .withOrganisation(metadata.organisation());
    }

    private SlotDecision awaitSlot(GuardRequest request, SlotTicket ticket, Duration maximumWait) {
        request.cancellation().onCancel(() -> slots.withdraw(ticket));
        try {
            awaitTurn(ticket, maximumWait);
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
            slots.withdraw(ticket);
        }
        return ticket.decision()
                .orElseGet(() -> new SlotDecision.Refused(SlotDecision.Reason.WITHDRAWN, Duration.ZERO));
    }

    /** Waits for the decision, and looks whenever the rate limit of the target may let the request pass. */
    private void awaitTurn(SlotTicket ticket, Duration maximumWait) throws InterruptedException {
        long end = clockNanoseconds.getAsLong() + maximumWait.toNanos();
        Duration remaining = maximumWait;
        while (remaining.isPositive()) {
            Duration turn = slots.untilTurn(ticket).orElse(remaining).plus(SHORTEST_TURN);
            if (slotWait.await(ticket, turn.compareTo(remaining) < 0 ? turn : remaining)
                    .isPresent()) {
                return;
            }
            slots.grantDue();
            remaining = Duration.ofNanos(end - clockNanoseconds.getAsLong());
        }
        slots.withdraw(ticket);
    }

    private GuardReply replyForDecision(GuardRequest request, SlotDecision decision, long started) {
        return switch (decision) {
            case SlotDecision.Refused refused ->
                new GuardReply.NotRun(refused.reason().name(), false, refused.expectedWait());
            case SlotDecision.Granted _ -> {
                Optional<TargetStart> start = target.activeStart();
                if (start.isEmpty() || request.cancellation().isCancelled()) {
                    yield new GuardReply.NotRun(SlotDecision.Reason.CLOSED.name(), false, Duration.ZERO);
                }
                yield run(request, start.get(), started);
            }
        };
    }

    private static GuardReply overRetryBudget() {
        return new GuardReply.NotRun("RETRY_BUDGET", false, Duration.ZERO);
    }

    private GuardReply quarantined(GuardRequest request, CrashVerdict.Quarantined verdict) {
        crashMonitor.recordRefusal(request.client().attemptId(), request.identity(), verdict);
        return new GuardReply.Quarantined(CrashMonitor.retryAfter(verdict));
    }

    // -- runs

    private GuardReply run(GuardRequest request, TargetStart start, long started) {
        Optional<CrashMonitor.Run> run =
                crashMonitor.beginRun(start, request.client().attemptId(), request.identity());
        if (run.isEmpty()) {
            return crashMonitor.verdict(request.identity()) instanceof CrashVerdict.Quarantined verdict
                    ? quarantined(request, verdict)
                    : new GuardReply.Quarantined(CrashMonitor.trialRetryAfter());
        }
        GuardReply reply = inducedRetries.tryRecordRun(request.metadata().isRepeat())
                ? send(request, start, started)
                : overRetryBudget();
        switch (reply) {
            case GuardReply.Ran _ -> crashMonitor.completeRun(start, run.get());
            case GuardReply.NotRun notRun -> {
                crashMonitor.cancelRun(start, run.get());
                if (notRun.reason().equals(TargetReplies.REFUSED)) {
                    target.markDown(start);
                    crashMonitor.endTarget(start);
                }
            }
            case GuardReply.Quarantined _ -> crashMonitor.cancelRun(start, run.get());
            case GuardReply.Unknown unknown -> {
                return replyForUnanswered(start, run.get(), unknown);
            }
            case GuardReply.Abandoned _ -> crashMonitor.giveUpRun(start, run.get());
        }
        return reply;
    }

    /** Finds out whether the target ended under a run without a response. */
    private GuardReply replyForUnanswered(TargetStart start, CrashMonitor.Run run, GuardReply.Unknown unknown) {
        if (client.isListening(address, PROBE_TIMEOUT) && !target.status().isReplaced(start)) {
            crashMonitor.giveUpRun(start, run);
            return unknown;
        }
        target.markDown(start);
        crashMonitor.endTarget(start);
        return new GuardReply.Unknown(GuardReply.Cause.TARGET_ENDED, "TARGET_ENDED: " + unknown.reason());
    }

    // -- exchange

    private GuardReply send(GuardRequest request, TargetStart start, long started) {
        long sentNanoseconds = clockNanoseconds.getAsLong();
        Duration remaining = request.metadata().remaining().minusNanos(sentNanoseconds - started);
        if (remaining.compareTo(times.shortestRun(request.metadata())) < 0) {
            return new GuardReply.NotRun("DEADLINE", false, Duration.ZERO);
        }
        List<HeaderField> headers = adapter.targetHeaders(
                request.headers(),
                request.client(),
                request.metadata().caller(),
                request.metadata().organisation(),
                remaining,
                start.instance());
        SendPolicy sendPolicy = request.metadata().kind().isOncePerAttempt()
                ? SendPolicy.RECENT_CONNECTION
                : SendPolicy.POOLED_UNCHECKED;
        OutboundRequest outbound = new OutboundRequest(
                        request.method(),
                        request.path(),
                        headers,
                        request.body(),
                        sendPolicy,
                        CONNECT_TIMEOUT,
                        remaining)
                .withTimeLimitHeader(adapter.timeLimitHeader());
        ResponseMatcher matcher = ResponseMatcher.matching(fields -> isForAttempt(fields, request.client()));
        BodyAllowance allowance = new BodyAllowance(BODY_LIMIT_BYTES, request.bodies());
        Either<UpstreamFailure, BufferedResponse> response =
                client.exchange(address, outbound, matcher, allowance, request.cancellation());
        Duration runTime = Duration.ofNanos(clockNanoseconds.getAsLong() - sentNanoseconds);
        return response.fold(TargetReplies::forFailure, received -> {
            TargetResponseMetadata metadata = adapter.responseMetadata(received.headers());
            if (received.status() != HttpStatuses.MISDIRECTED_REQUEST) {
                metadata.signals().ifPresent(signals -> target.recordSignals(start, signals, sentNanoseconds));
            }
            GuardReply reply = TargetReplies.forResponse(
                    received, metadata, request.client().attemptId());
            if (reply instanceof GuardReply.Ran ran
                    && HttpStatuses.isSuccess(ran.response().status())) {
                latencyRatio.record(runTime, request.metadata().targetLatency());
            }
            return reply;
        });
    }

    private boolean isForAttempt(List<HeaderField> headers, ClientRequestMetadata client) {
        Optional<String> echoed = adapter.responseMetadata(headers).attemptId();
        return echoed.isEmpty() || echoed.get().equals(client.attemptId());
    }
}
