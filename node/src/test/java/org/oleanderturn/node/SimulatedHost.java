package org.oleanderturn.node;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.mesh.RouteIndex;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.platform.FakeOperator;
import org.oleanderturn.platform.FakeTargetMessages;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.proxy.UpstreamFailure;
import org.oleanderturn.traffic.CoreLag;
import org.oleanderturn.traffic.Fingerprint;
import org.oleanderturn.traffic.RequestSender;
import org.oleanderturn.wire.Frame;

/** A host of a {@link SimulatedFleet}: its target, and the lives of its node. Used by one task at a time. */
final class SimulatedHost {
    private static final Logger LOGGER = Logger.getLogger("org.oleanderturn");

    /** How often a node looks at the connections of the requests that it serves. */
    private static final Duration WATCH_PERIOD = Duration.ofMillis(100);

    private static final long HEADER_BYTES = 500;
    private static final long PART_BYTES = 16_000;

    static {
        // Thousands of simulated nodes would each log what they learn.
        LOGGER.setLevel(Level.OFF);
    }

    private final ControlFrames frames = new ControlFrames();
    private final SimulatedFleet fleet;
    private final int number;
    private final NodeSettings settings;
    private final RouteIndex routes;
    private final SimulatedTarget target;
    private final CoreLag lag;
    private final Optional<SimulatedLink> uplink;
    private final Map<SimulatedRequest, SimulatedNetwork.Exchange> guarded = new LinkedHashMap<>();
    private final List<SimulatedTime.Pending<SimulatedFleet.Answer>> clients = new ArrayList<>();
    private Optional<SimulatedNode> node = Optional.empty();
    private Optional<SimulatedCore> core = Optional.empty();
    private Duration readCost = Duration.ZERO;
    private Duration sendCost = Duration.ZERO;
    private int life;
    private Duration acceptCost = Duration.ZERO;
    private boolean isCut;
    private boolean isSilent;
    private long disturbedNanoseconds;

    SimulatedHost(
            SimulatedFleet fleet,
            int number,
            int slots,
            ConfigurationSnapshot configuration,
            SimulatedSettings.Variant variant) {
        this.fleet = fleet;
        this.number = number;
        this.settings = SimulatedSettings.of(
                number, "node-" + number, SimulatedFleet.ZONES, ServiceName.of(SimulatedFleet.SERVICE), variant);
        this.uplink = variant.linkRate().map(SimulatedLink::new);
        this.routes = RouteIndex.of(configuration);
        this.target = new SimulatedTarget(fleet, this, slots);
        this.lag = CoreLag.of(fleet.time()::nanoseconds);
    }

    // -- queries

    int number() {
        return number;
    }

    /** Returns the number of the present or last life of the node. */
    int life() {
        return life;
    }

    NodeId nodeId() {
        return settings.node();
    }

    /** Returns where the host's target listens. */
    Address targetAddress() {
        return settings.target().address();
    }

    SimulatedTarget target() {
        return target;
    }

    boolean isNodeUp() {
        return node.isPresent();
    }

    boolean isCut() {
        return isCut;
    }

    boolean isSilent() {
        return isSilent;
    }

    /** Returns whether the node has run, its links have held and the store has answered for a stable window. */
    boolean isUndisturbed() {
        long since = fleet.time().nanoseconds() - disturbedNanoseconds;
        return node.isPresent()
                && !isCut
                && !isSilent
                && fleet.store().isAvailable()
                && since >= SimulatedFleet.STABLE_WINDOW.toNanos();
    }

    /** Returns whether the node knows that targets have ended under a path. */
    boolean isSuspect(String path) {
        Fingerprint fingerprint = Fingerprint.ofRequest(
                "GET",
                FakeOperator.HOST,
                path,
                RequestSender.of(ServiceName.of(SimulatedFleet.SERVICE), Optional.empty()),
                new byte[0]);
        return node.flatMap(present -> present.data().crashLedger().suspicion(fingerprint))
                .filter(suspicion -> suspicion.level() > 0)
                .isPresent();
    }

    /** Returns the data plane of the present life of the node. */
    MeshDataPlane data() {
        return node.orElseThrow().data();
    }

    /** Returns the record of the node that announces a state of its target. */
    MemberRecord record(EndpointState state) {
        Endpoint endpoint = new Endpoint(
                settings.node(),
                settings.listen().peer(),
                settings.locality(),
                settings.target().service(),
                1,
                state,
                life);
        return MemberRecord.of(endpoint, settings.listen().control());
    }

    // -- node

    void startNode() {
        if (node.isEmpty()) {
            life++;
            disturb();
            node = Optional.of(new SimulatedNode(fleet, this, settings, routes));
            node.get().start();
            measureLag(node.get().life());
            fleet.reviewLater(this);
        }
    }

    /** Ends the node; returns whether it was up. */
    boolean endNode() {
        if (node.isEmpty()) {
            return false;
        }
        node.get().life().end();
        node = Optional.empty();
        disturb();
        UpstreamFailure.ResponseLost lost = new UpstreamFailure.ResponseLost("connection reset");
        guarded.values().forEach(exchange -> reply(exchange, Either.left(lost)));
        guarded.clear();
        clients.forEach(client -> client.complete(SimulatedFleet.Answer.none()));
        clients.clear();
        fleet.reviewLater(this);
        return true;
    }

    void setCut(boolean cut) {
        isCut = cut;
        disturb();
    }

    /** Loses what the host sends to others and they to it, without a sign of it. */
    void setSilent(boolean silent) {
        isSilent = silent;
        disturb();
    }

    /** Keeps the core from the node for some time. */
    void stall(Duration duration) {
        disturb();
        core.ifPresent(present -> present.stall(fleet.time().nanoseconds(), duration.toNanos()));
    }

    /** Records that the node or something it needs is disturbed. */
    void disturb() {
        disturbedNanoseconds = fleet.time().nanoseconds();
    }

    /** Lets the node's membership notice whether another node is reachable. */
    void review(SimulatedHost other) {
        boolean isReachable = other.isNodeUp() && fleet.isConnected(this, other);
        Optional<EndpointState> state =
                isReachable ? Optional.of(other.data().target().state()) : Optional.empty();
        node.ifPresent(present -> present.see(other.number, state));
    }

    void recordState(SimulatedHost other, EndpointState state) {
        node.ifPresent(present -> present.recordState(other.number, state));
    }

    // -- core

    /** Charges a share of a core for each request that the node reads or sends on. */
    void setCore(double share, Duration costOfReading, Duration costOfSending) {
        core = Optional.of(new SimulatedCore(share));
        readCost = costOfReading;
        sendCost = costOfSending;
    }

    /** Charges the core for each connection of a client that the node accepts. */
    void setAcceptCost(Duration cost) {
        acceptCost = cost;
    }

    /** Blocks the calling task, which has the core, until it has sent a request on. */
    void chargeSending() {
        core.ifPresent(present ->
                fleet.time().sleep(Duration.ofNanos(present.extend(fleet.time().nanoseconds(), sendCost.toNanos()))));
    }

    /** Measures the lag of the core as the loop of a listener does. */
    private void measureLag(SimulatedTime.Life nodeLife) {
        lag.recordWait(WATCH_PERIOD);
        fleet.time()
                .at(
                        WATCH_PERIOD,
                        () -> fleet.time().at(workTime(Duration.ZERO), () -> {
                            lag.recordWake();
                            if (!nodeLife.isOver()) {
                                measureLag(nodeLife);
                            }
                        }));
    }

    /** Returns how long the core takes until it has done some work, with what it has to do before. */
    private Duration workTime(Duration cost) {
        long now = fleet.time().nanoseconds();
        return core.map(present -> Duration.ofNanos(present.finish(now, cost.toNanos()) - now))
                .orElse(Duration.ZERO);
    }

    /** Returns how late the core is by the node's own measure. */
    Duration lag() {
        return lag.current();
    }

    /** Closes the connection of a request, which the node notices when it next looks at it. */
    void disconnect(SimulatedRequest request) {
        request.close();
        Duration untilLook = core.isEmpty()
                ? Duration.ZERO
                : Duration.ofNanos(fleet.random().nextLong(WATCH_PERIOD.toNanos()))
                        .plus(workTime(Duration.ZERO));
        fleet.time().at(untilLook, request::disconnect);
    }

    // -- requests

    void handleClient(SimulatedRequest request, SimulatedTime.Pending<SimulatedFleet.Answer> answer) {
        SimulatedNode present = node.orElseThrow();
        clients.add(answer);
        fleet.stages().reach(attemptId(request), RequestStage.ACCEPT);
        if (acceptCost.isZero()) {
            readClient(present, request, answer);
        } else {
            fleet.time().start(workTime(acceptCost), present.life(), () -> readClient(present, request, answer));
        }
    }

    private void readClient(
            SimulatedNode present, SimulatedRequest request, SimulatedTime.Pending<SimulatedFleet.Answer> answer) {
        fleet.stages().reach(attemptId(request), RequestStage.READ);
        fleet.time().start(workTime(readCost), present.life(), () -> {
            fleet.stages().handle(attemptId(request));
            request.setReadDelay(lag.current());
            Response response = SimulatedFleet.handle(present.clientHandler(), request);
            clients.remove(answer);
            answer.complete(SimulatedFleet.answer(response));
        });
    }

    void handleTargetCall(SimulatedRequest request) {
        node.ifPresent(present -> fleet.time().start(Duration.ZERO, present.life(), () -> {
            var _ = SimulatedFleet.handle(present.targetCalls(), request);
        }));
    }

    void handlePeer(SimulatedRequest request, SimulatedNetwork.Exchange exchange) {
        SimulatedNode present = node.orElseThrow();
        guarded.put(request, exchange);
        fleet.stages().reach(attemptId(request), RequestStage.SENT);
        fleet.time().start(workTime(readCost), present.life(), () -> {
            fleet.stages().handle(attemptId(request));
            request.setReadDelay(lag.current());
            Response response = SimulatedFleet.handle(present.data().guard(), request);
            guarded.remove(request);
            reply(exchange, Either.right(buffered(response)));
        });
    }

    private void reply(SimulatedNetwork.Exchange exchange, Either<UpstreamFailure, BufferedResponse> response) {
        if (!fleet.isConnected(this, exchange.sender()) || fleet.isSilent(this, exchange.sender())) {
            return;
        }
        if (uplink.isPresent() && response.isRight()) {
            SimulatedTransfer.Hop hop = new SimulatedTransfer.Hop(uplink.get(), fleet.delay(this, exchange.sender()));
            SimulatedTransfer.Receiver receiver = new SimulatedTransfer.Receiver(
                    () -> true, () -> {}, () -> exchange.response().complete(response));
            long bytes = response.get().body().length + HEADER_BYTES;
            new SimulatedTransfer(fleet.time(), List.of(hop), bytes, PART_BYTES, receiver).send();
        } else {
            fleet.time()
                    .at(
                            fleet.delay(this, exchange.sender()),
                            () -> exchange.response().complete(response));
        }
    }

    private static String attemptId(SimulatedRequest request) {
        return FakeTargetMessages.attemptId(request.headers());
    }

    private static BufferedResponse buffered(Response response) {
        return switch (response.body()) {
            case Response.Body.Buffered body ->
                new BufferedResponse(response.status(), response.headers(), body.bytes());
            case Response.Body.Streamed _ -> throw new IllegalStateException("a guard doesn't stream");
        };
    }

    /** Returns the node's answer to a control message. */
    Frame answer(Frame request) {
        ControlMessage message = ControlFrames.decode(request).get();
        return frames.encode(node.orElseThrow().answer(message), ControlFrames.readsCompressed(request));
    }
}
