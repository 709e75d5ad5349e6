package org.oleanderturn.node;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.oleanderturn.platform.FakeTargetMessages;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.OutboundRequest;
import org.oleanderturn.proxy.UpstreamFailure;

/**
 * A target in simulated time: processes that run requests, one after the other. A path that contains {@code crash} ends the
 * process that runs it, unless it is for the other virtual host. Used by one task at a time.
 */
final class SimulatedTarget {
    private static final Duration HEARTBEAT = Duration.ofMillis(500);
    private static final int LONGEST_RUN_BEFORE_A_CRASH_MILLISECONDS = 30;
    private static final int LONGEST_DOWN_MILLISECONDS = 4_000;
    private static final int SHORTEST_DOWN_MILLISECONDS = 1_000;
    private static final int PERCENT = 100;
    private static final int DOWNLOAD_BYTES = 60_000;
    private static final long TELLING_MILLISECONDS = 500;

    /**
     * When a request ended the target.
     *
     * @param isKnowable whether a node that knew of the run lived on, or the request was under suspicion before it, so that
     *     the run need not have begun before others knew
     */
    record Crash(String path, long milliseconds, boolean isKnowable) {}

    /**
     * What counts as named by a process from some moment on: a lower limit half a second after the first response with it,
     * when nodes have to know it, a higher one at once. An empty limit takes the limit back.
     */
    record Named(String process, long milliseconds, OptionalDouble limit) {}

    private final SimulatedFleet fleet;
    private final SimulatedHost host;
    private final int slots;
    private final List<Crash> crashes = new ArrayList<>();
    private final List<Named> named = new ArrayList<>();
    private final Set<SimulatedTime.Pending<Either<UpstreamFailure, BufferedResponse>>> open = new LinkedHashSet<>();
    private final Map<
                    SimulatedTime.Pending<Either<UpstreamFailure, BufferedResponse>>,
                    SimulatedTime.Pending<SimulatedFleet.Answer>>
            calls = new HashMap<>();
    private double speed = 1;
    private int nodeEndsPercent;
    private boolean isInstanceKept;
    private boolean isUp;
    private int starts;
    private String instance = "";
    private long sequence;
    private long bornMilliseconds;
    private OptionalDouble limit = OptionalDouble.empty();
    private boolean isLimitUntold;
    private boolean isLeaving;

    SimulatedTarget(SimulatedFleet fleet, SimulatedHost host, int slots) {
        this.fleet = fleet;
        this.host = host;
        this.slots = slots;
        fleet.time().at(HEARTBEAT, this::beat);
    }

    // -- queries

    boolean isUp() {
        return isUp;
    }

    /** Returns the name of the present process, which no other one has. */
    String process() {
        return host.number() + "." + starts;
    }

    List<Crash> crashes() {
        return crashes;
    }

    int inFlight() {
        return open.size();
    }

    List<Named> named() {
        return named;
    }

    // -- commands

    /** Sets how fast the target runs requests; 1 is usual. */
    void setSpeed(double factor) {
        speed = factor;
    }

    /** Lets later processes keep the instance id. */
    void keepInstance() {
        isInstanceKept = true;
    }

    /** Sets how often the node on the host ends together with a target that crashes. */
    void setNodeEnds(int percent) {
        nodeEndsPercent = percent;
    }

    /** Names a limit in all further responses of the present process, or none. */
    void setLimit(OptionalDouble requestsPerSecond) {
        double before = limit.orElse(Double.POSITIVE_INFINITY);
        limit = requestsPerSecond;
        isLimitUntold = requestsPerSecond.orElse(Double.POSITIVE_INFINITY) < before;
        if (!isLimitUntold) {
            named.add(new Named(process(), fleet.time().milliseconds(), requestsPerSecond));
        }
    }

    /** Ends the run of a request whose connection the node has closed. */
    void abandon(SimulatedTime.Pending<Either<UpstreamFailure, BufferedResponse>> response) {
        open.remove(response);
        leaveCall(response);
    }

    private void recordTold() {
        if (isLimitUntold) {
            isLimitUntold = false;
            named.add(new Named(process(), fleet.time().milliseconds() + TELLING_MILLISECONDS, limit));
        }
    }

    /** Says in all further responses of the present process that it leaves. */
    void leave() {
        isLeaving = true;
    }

    void begin() {
        isUp = true;
        starts++;
        instance = isInstanceKept ? instance : "i-" + host.number() + "-" + starts;
        sequence = 0;
        bornMilliseconds = fleet.time().milliseconds();
        limit = OptionalDouble.empty();
        isLimitUntold = false;
        isLeaving = false;
    }

    /** Ends the present process; the next one begins within seconds. */
    void end() {
        if (!isUp) {
            return;
        }
        isUp = false;
        open.forEach(response -> response.complete(Either.left(new UpstreamFailure.ResponseLost("connection reset"))));
        open.forEach(this::leaveCall);
        open.clear();
        Duration downTime =
                Duration.ofMillis(fleet.random().nextInt(SHORTEST_DOWN_MILLISECONDS, LONGEST_DOWN_MILLISECONDS));
        fleet.time().at(downTime, this::begin);
    }

    /** Takes a request from the node on the host. */
    void receive(OutboundRequest request, SimulatedTime.Pending<Either<UpstreamFailure, BufferedResponse>> response) {
        if (!isUp) {
            response.complete(Either.left(new UpstreamFailure.NotSent(UpstreamFailure.Cause.REFUSED, "refused")));
            return;
        }
        String attemptId = FakeTargetMessages.attemptId(request.headers());
        if (FakeTargetMessages.isHealthCheck(request.path())) {
            response.complete(Either.right(FakeTargetMessages.healthy(instance)));
            return;
        }
        boolean isExpected = FakeTargetMessages.expectedInstance(request.headers())
                .filter(instance::equals)
                .isPresent();
        if (!isExpected) {
            response.complete(Either.right(FakeTargetMessages.misdirected(instance)));
            return;
        }
        Optional<Duration> timeLimit = FakeTargetMessages.timeLimit(request.headers());
        String label = SimulatedClients.label(FakeTargetMessages.host(request.headers()), request.path());
        SimulatedFleet.Arrival arrival = fleet.recordArrival(host, process(), attemptId, label, timeLimit);
        open.add(response);
        if (label.startsWith("/") && label.contains("crash")) {
            crashSoon(request.path(), fleet.sender(attemptId));
            return;
        }
        String ran = process();
        if (request.path().contains("parent")) {
            call(request.path(), timeLimit.orElse(SimulatedFleet.CLIENT_TIMEOUT), response);
        }
        fleet.time().at(workTime(), () -> {
            leaveCall(response);
            if (open.remove(response)) {
                fleet.recordRun(arrival);
                recordTold();
                BufferedResponse answer = FakeTargetMessages.ran(attemptId, ran, limit, isLeaving);
                response.complete(Either.right(
                        new BufferedResponse(answer.status(), answer.headers(), new byte[bodyBytes(request.path())])));
            }
        });
    }

    /** Makes a call that is part of a run, and leaves it when the run ends before. */
    private void call(
            String path,
            Duration timeLimit,
            SimulatedTime.Pending<Either<UpstreamFailure, BufferedResponse>> response) {
        SimulatedTime.Pending<SimulatedFleet.Answer> answer = fleet.time().pending();
        calls.put(response, answer);
        fleet.clients().call(host.number(), path.replace("parent", "call"), timeLimit, answer);
    }

    private void leaveCall(SimulatedTime.Pending<Either<UpstreamFailure, BufferedResponse>> response) {
        SimulatedTime.Pending<SimulatedFleet.Answer> answer = calls.remove(response);
        if (answer != null) {
            answer.complete(SimulatedFleet.Answer.left());
        }
    }

    /** Returns the size of the body of a response: downloads are large, a tenth of them six times as large as the others. */
    private int bodyBytes(String path) {
        if (!path.startsWith("/download/")) {
            return 0;
        }
        return fleet.random().nextInt(10) == 0 ? 6 * DOWNLOAD_BYTES : DOWNLOAD_BYTES;
    }

    private Duration workTime() {
        return Duration.ofNanos(Math.round(fleet.workTime().toNanos() / speed));
    }

    private void crashSoon(String path, SimulatedHost sender) {
        boolean isSuspect = host.isSuspect(path);
        String crashing = process();
        Duration runTime = Duration.ofMillis(1 + fleet.random().nextInt(LONGEST_RUN_BEFORE_A_CRASH_MILLISECONDS));
        fleet.time().at(runTime, () -> {
            if (isUp && crashing.equals(process())) {
                if (fleet.random().nextInt(PERCENT) < nodeEndsPercent) {
                    fleet.endNode(host.number());
                }
                boolean isWitnessed = host.isNodeUp() || (sender.isNodeUp() && fleet.isConnected(host, sender));
                crashes.add(new Crash(path, fleet.time().milliseconds(), isWitnessed || isSuspect));
                end();
            }
        });
    }

    private void beat() {
        if (isUp) {
            sequence++;
            byte[] body = FakeTargetMessages.heartbeat(
                    host.targetAddress(), SimulatedFleet.SERVICE, slots, bornMilliseconds, sequence);
            host.handleTargetCall(
                    new SimulatedRequest("POST", FakeTargetMessages.heartbeatPath(instance), List.of(), body));
        }
        fleet.time().at(HEARTBEAT, this::beat);
    }
}
