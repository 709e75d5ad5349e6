package org.oleanderturn.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.oleanderturn.mesh.Decision;
import org.oleanderturn.platform.FakeOperator;
import org.oleanderturn.proxy.HeaderField;

/** The clients of a {@link SimulatedFleet}: what they have sent, when they left and what they got. Used by one task at a time. */
final class SimulatedClients {
    private final SimulatedFleet fleet;
    private final SimulatedTime.Life life = new SimulatedTime.Life();
    private final StageWatch stages;
    private final List<SimulatedFleet.Sending> sendings = new ArrayList<>();
    private final Map<SimulatedFleet.Sending, Long> departures = new HashMap<>();
    private final List<SimulatedFleet.Exchange> exchanges = new ArrayList<>();

    private Function<String, Optional<HeaderField>> credentials = _ -> Optional.empty();

    SimulatedClients(SimulatedFleet fleet) {
        this.fleet = fleet;
        this.stages = new StageWatch(fleet);
    }

    // -- queries

    SimulatedTime.Life life() {
        return life;
    }

    StageWatch stages() {
        return stages;
    }

    /** Returns the request of an attempt. */
    SimulatedFleet.Sending sending(String attemptId) {
        return sendings.get(Integer.parseInt(attemptId.substring(1)));
    }

    /** Returns when the client of a request left or had its answer, in milliseconds; the largest value before that. */
    long departure(SimulatedFleet.Sending sending) {
        return departures.getOrDefault(sending, Long.MAX_VALUE / 2);
    }

    /** Returns the exchanges that have ended, in order. */
    List<SimulatedFleet.Exchange> exchanges() {
        return exchanges;
    }

    /** Returns how many requests with a label were refused at an entry or a guard because they are suspected of crashes. */
    long quarantined(String label) {
        Set<String> refused = fleet.decisions().stream()
                .filter(Decision.Quarantined.class::isInstance)
                .map(decision -> ((Decision.Quarantined) decision).attemptId())
                .collect(Collectors.toUnmodifiableSet());
        return exchanges.stream()
                .filter(exchange -> exchange.path().equals(label))
                .filter(exchange -> refused.contains(attemptId(exchange.sending())))
                .count();
    }

    /** Returns how many requests with a label have ended without a response of a target. */
    long unserved(String label) {
        return exchanges.stream()
                .filter(exchange -> exchange.path().equals(label))
                .filter(exchange -> exchange.answer().status() != 200)
                .count();
    }

    /** Returns what names a request in arrivals and exchanges: its path, after the virtual host if that is the other one. */
    static String label(String virtualHost, String path) {
        return virtualHost.equals(FakeOperator.HOST) ? path : virtualHost + path;
    }

    static String attemptId(SimulatedFleet.Sending sending) {
        return "s" + sending.number();
    }

    // -- commands

    /** Lets clients show the key that belongs to the path of a request. */
    void showCredentials(Function<String, Optional<HeaderField>> credentialsOfPath) {
        credentials = credentialsOfPath;
    }

    /** Sends a request once, after a delay, to a node that is drawn then; its client leaves when it reaches a stage. */
    void sendAndLeaveAt(Duration delay, String path, RequestStage stage) {
        fleet.time().start(delay, life, () -> {
            var _ = exchange(
                    fleet.random().nextInt(fleet.hosts().size()),
                    path,
                    SimulatedFleet.CLIENT_TIMEOUT,
                    SimulatedFleet.CLIENT_TIMEOUT,
                    Optional.of(stage),
                    fleet.time().pending());
        });
    }

    /** Sends a request to the other virtual host once, after a delay, to a node that is drawn then. */
    void sendToOtherHost(Duration delay, String path) {
        fleet.time().start(delay, life, () -> {
            var _ = exchange(
                    fleet.random().nextInt(fleet.hosts().size()),
                    FakeOperator.OTHER_HOST,
                    path,
                    SimulatedFleet.CLIENT_TIMEOUT,
                    SimulatedFleet.CLIENT_TIMEOUT,
                    Optional.empty(),
                    fleet.time().pending());
        });
    }

    /**
     * Sends a request after a delay, and again when a refusal asks for it; reports how long it took if it is served.
     *
     * @param tries how often the client sends at most
     */
    void sendAndReturn(Duration delay, String path, int tries, Consumer<Duration> served) {
        fleet.time().start(delay, life, () -> {
            long begin = fleet.time().nanoseconds();
            Optional<Duration> pause = Optional.of(Duration.ZERO);
            for (int attempt = 0; attempt < tries && pause.isPresent(); attempt++) {
                fleet.time().sleep(pause.get());
                Duration left =
                        SimulatedFleet.CLIENT_TIMEOUT.minusNanos(fleet.time().nanoseconds() - begin);
                SimulatedFleet.Answer answer = exchange(
                        fleet.random().nextInt(fleet.hosts().size()),
                        path,
                        left,
                        left,
                        Optional.empty(),
                        fleet.time().pending());
                pause = answer.retryAfter();
                if (answer.status() == 200) {
                    served.accept(Duration.ofNanos(fleet.time().nanoseconds() - begin));
                    return;
                }
            }
        });
    }

    /**
     * Sends a call of a target to the node on its host, as part of a run.
     *
     * @param limit how long the target waits
     * @param answer is completed with the answer; completing it before lets the target leave
     */
    void call(int host, String path, Duration limit, SimulatedTime.Pending<SimulatedFleet.Answer> answer) {
        fleet.time().start(Duration.ZERO, life, () -> {
            var _ = exchange(host, path, limit, limit, Optional.empty(), answer);
        });
    }

    /**
     * Sends a request to a node and reports what its client gets; blocks the calling task.
     *
     * @param limit how long the client says that it waits
     * @param patience after which time it leaves
     * @param leavesAt the stage at which it leaves before that, if any
     * @param answer is completed with the answer; completing it before lets the client leave
     */
    SimulatedFleet.Answer exchange(
            int entry,
            String path,
            Duration limit,
            Duration patience,
            Optional<RequestStage> leavesAt,
            SimulatedTime.Pending<SimulatedFleet.Answer> answer) {
        return exchange(entry, FakeOperator.HOST, path, limit, patience, leavesAt, answer);
    }

    private SimulatedFleet.Answer exchange(
            int entry,
            String virtualHost,
            String path,
            Duration limit,
            Duration patience,
            Optional<RequestStage> leavesAt,
            SimulatedTime.Pending<SimulatedFleet.Answer> answer) {
        SimulatedHost host = fleet.host(entry);
        if (!host.isNodeUp()) {
            answer.complete(SimulatedFleet.Answer.none());
            return SimulatedFleet.Answer.none();
        }
        SimulatedFleet.Sending sending = new SimulatedFleet.Sending(
                sendings.size(), entry, host.life(), fleet.time().milliseconds(), limit.toMillis());
        sendings.add(sending);
        String attemptId = attemptId(sending);
        List<HeaderField> headers =
                new ArrayList<>(FakeOperator.clientHeaders(virtualHost, attemptId, limit.toMillis()));
        credentials.apply(path).ifPresent(headers::add);
        SimulatedRequest request =
                new SimulatedRequest(path.startsWith("/single/") ? "POST" : "GET", path, headers, new byte[0]);
        leavesAt.ifPresent(
                stage -> stages.leaveAt(attemptId, stage, () -> answer.complete(SimulatedFleet.Answer.left())));
        host.handleClient(request, answer);
        Optional<SimulatedFleet.Answer> received = answer.await(patience).filter(result -> !result.isLeft());
        departures.put(sending, fleet.time().milliseconds());
        if (received.isEmpty()) {
            host.disconnect(request);
        }
        exchanges.add(new SimulatedFleet.Exchange(
                sending,
                label(virtualHost, path),
                received.orElse(SimulatedFleet.Answer.none()),
                fleet.time().milliseconds()));
        return exchanges.getLast().answer();
    }
}
