package org.oleanderturn.proxy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.oleanderturn.proxy.FakeMesh.Call;
import org.oleanderturn.proxy.FakeMesh.Reply;
import org.oleanderturn.proxy.FaultRelay.Step;
import org.oleanderturn.proxy.FaultRelay.Verdict;
import org.oleanderturn.store.FakeStore;

/** Runs one request into one fault, sends it again, and checks what must hold. */
final class RequestScenario {
    private static final Duration PATIENCE = Duration.ofSeconds(50);
    private static final Duration SHORT = Duration.ofMillis(300);
    private static final String KEY = "order-1";

    enum Protocol {
        FORWARD,
        BOOKING
    }

    enum Hop {
        TO_GUARD,
        TO_TARGET
    }

    enum Fault {
        REFUSED,
        RESET,
        CLOSED,
        FROZEN,
        CALLER_GONE,
        TARGET_DIED,
        TARGET_SHEDS,
        SENT_TWICE,
        DRAIN,
        STOP,
        STOP_ENTRY,
        STORE_UNREACHABLE,
        STORE_ANSWER_LOST,
        STORE_REQUEST_LOST,
        STORE_EFFECT_LATE
    }

    /** One cell of the table. */
    record Cell(Protocol protocol, Hop hop, Step step, Fault fault) {
        boolean isMeaningful() {
            boolean isOfStore = fault.name().startsWith("STORE_");
            return switch (fault) {
                case REFUSED, TARGET_SHEDS -> step == Step.CONNECT;
                default -> !isOfStore || (protocol == Protocol.BOOKING && hop == Hop.TO_TARGET);
            };
        }

        /** Returns whether the request has not reached a target when the fault comes, and another is there. */
        boolean isRecoverable() {
            boolean isCut = fault == Fault.RESET || fault == Fault.CLOSED || fault == Fault.REFUSED;
            boolean isBeforeRun = step == Step.CONNECT || (step == Step.GO_AHEAD && hop == Hop.TO_GUARD);
            boolean isBeforeAnswer = isBeforeRun || step == Step.GO_AHEAD || step == Step.BODY_SENT;
            return switch (fault) {
                case REFUSED, TARGET_SHEDS, DRAIN, STOP, STOP_ENTRY, SENT_TWICE -> true;
                default ->
                    isCut && (protocol == Protocol.FORWARD ? isBeforeAnswer : isBeforeRun && hop == Hop.TO_GUARD);
            };
        }
    }

    private final Cell cell;
    private final AtomicBoolean isReached = new AtomicBoolean();
    private final CountDownLatch acted = new CountDownLatch(1);
    private final Cancellation leaving = Cancellation.create();
    private final List<String> report = Collections.synchronizedList(new ArrayList<>());
    private final List<String> notRun = Collections.synchronizedList(new ArrayList<>());
    private final List<Future<Boolean>> stops = Collections.synchronizedList(new ArrayList<>());
    private volatile int runsAtDrain = -1;
    private FakeMesh mesh;

    RequestScenario(Cell cell) {
        this.cell = cell;
    }

    List<String> report() {
        return List.copyOf(report);
    }

    void run() throws Exception {
        FaultRelay.Gate gate = this::gate;
        FaultRelay.Gate pass = _ -> Verdict.PASS;
        boolean isToGuard = cell.hop() == Hop.TO_GUARD;
        try (FakeMesh made = new FakeMesh(isToGuard ? gate : pass, isToGuard ? pass : gate)) {
            mesh = made;
            prepare();
            Duration deadline = cell.fault() == Fault.FROZEN ? SHORT : PATIENCE;
            Optional<Reply> reply = mesh.sendToFirst(call("first", deadline, leaving));
            check("the fault was reached", acted.await(PATIENCE.toSeconds(), TimeUnit.SECONDS));
            judge("first", reply);
            if (cell.isRecoverable()) {
                check("served", reply.filter(found -> found.status() == 200).isPresent());
            }
            awaitStops();
            sendAgain("again");
            mesh.store().clearFaults();
            mesh.store().applyLateWrites();
            mesh.settleClaims();
            sendAgain("after");
            checkSlots();
            checkRuns();
        }
    }

    // -- faults

    private void prepare() {
        switch (cell.fault()) {
            case REFUSED -> {
                isReached.set(true);
                if (cell.hop() == Hop.TO_GUARD) {
                    mesh.near().refuse();
                } else {
                    mesh.near().refuseAtTarget();
                }
            }
            case TARGET_SHEDS -> {
                isReached.set(true);
                mesh.near().target().setShedding(true);
            }
            case STORE_UNREACHABLE, STORE_ANSWER_LOST, STORE_REQUEST_LOST, STORE_EFFECT_LATE -> {
                if (cell.step() == Step.CONNECT) {
                    isReached.set(true);
                    mesh.store().setDefaultFault(storeFault());
                }
            }
            default -> {}
        }
        if (isReached.get()) {
            acted.countDown();
        }
    }

    private Verdict gate(Step step) {
        if (step != cell.step() || !isReached.compareAndSet(false, true)) {
            return Verdict.PASS;
        }
        act();
        acted.countDown();
        return switch (cell.fault()) {
            case RESET -> Verdict.RESET;
            case CLOSED -> Verdict.CLOSE;
            case FROZEN -> Verdict.HOLD;
            case CALLER_GONE -> cell.protocol() == Protocol.FORWARD ? Verdict.HOLD_FOR_CLIENT : Verdict.PASS;
            default -> Verdict.PASS;
        };
    }

    private void act() {
        switch (cell.fault()) {
            case CALLER_GONE -> leaving.cancel();
            case TARGET_DIED -> mesh.near().killTarget();
            case SENT_TWICE -> sendAgain("twice");
            case DRAIN -> {
                mesh.near().drain();
                runsAtDrain = mesh.near().target().runs().size();
            }
            case STOP -> stops.add(mesh.executor().submit(mesh.near()::stop));
            case STOP_ENTRY -> stops.add(mesh.executor().submit(mesh::stopFirstEntry));
            case STORE_UNREACHABLE, STORE_ANSWER_LOST, STORE_REQUEST_LOST, STORE_EFFECT_LATE ->
                mesh.store().setDefaultFault(storeFault());
            default -> {}
        }
    }

    private FakeStore.Fault storeFault() {
        return FakeStore.Fault.valueOf(cell.fault().name().substring("STORE_".length()));
    }

    private void awaitStops() throws Exception {
        for (Future<Boolean> stop : List.copyOf(stops)) {
            check("stopped whole", stop.get(40, TimeUnit.SECONDS));
        }
    }

    // -- requests

    private Call call(String requestId, Duration deadline, Cancellation cancellation) {
        String path = "/" + (cell.protocol() == Protocol.BOOKING ? "booking" : "lookup");
        return new Call(path, requestId, KEY, deadline, cancellation);
    }

    private void sendAgain(String requestId) {
        Cancellation none = Cancellation.create();
        judge(requestId, mesh.sendToSecond(call(requestId, PATIENCE, none)));
    }

    private void judge(String requestId, Optional<Reply> reply) {
        if (reply.isEmpty()) {
            boolean isCutAllowed = cell.fault() == Fault.CALLER_GONE
                    || cell.step().compareTo(Step.ANSWER_BEGUN) >= 0
                    || cell.fault() == Fault.STOP_ENTRY;
            check("cut only after the answer began", isCutAllowed || !requestId.equals("first"));
            return;
        }
        Reply found = reply.get();
        check("typed", found.outcome().isPresent());
        if (found.isOutcome(RequestOutcome.NOT_RUN)) {
            notRun.add(requestId);
            check("time to come back", found.isTimeStated());
        }
        if (found.isOutcome(RequestOutcome.UNKNOWN)) {
            check("time to come back", found.isTimeStated());
        }
        if (found.status() == 200) {
            check("whole answer to its own request", isOwn(requestId, found.body()));
        }
    }

    private boolean isOwn(String requestId, String body) {
        if (cell.protocol() == Protocol.FORWARD) {
            return body.equals(FakeTarget.answerTo(requestId));
        }
        return mesh.runs().stream().anyMatch(run -> body.equals(FakeTarget.answerTo(run)));
    }

    // -- invariants

    private void checkSlots() throws InterruptedException {
        long end = System.nanoTime() + PATIENCE.dividedBy(2).toNanos();
        while (mesh.near().inFlight() + mesh.far().inFlight() > 0 && System.nanoTime() < end) {
            TimeUnit.MILLISECONDS.sleep(2);
        }
        check("slots are given back", mesh.near().inFlight() + mesh.far().inFlight() == 0);
    }

    private void checkRuns() {
        List<String> runs = mesh.runs();
        check("not run is true", runs.stream().noneMatch(notRun::contains));
        if (cell.protocol() == Protocol.BOOKING) {
            check("at most one run", runs.size() <= 1);
        }
        if (runsAtDrain >= 0) {
            long later = mesh.near().target().runs().stream()
                    .filter(run -> !run.equals("first"))
                    .count();
            check("no new work at a draining target", later == 0);
        }
    }

    private void check(String invariant, boolean holds) {
        String line = String.join(
                "\t",
                cell.protocol().name().toLowerCase(Locale.ROOT),
                cell.hop().name().toLowerCase(Locale.ROOT) + "/"
                        + cell.step().name().toLowerCase(Locale.ROOT),
                cell.fault().name().toLowerCase(Locale.ROOT),
                invariant,
                holds ? "passed" : "red");
        report.add(line);
        if (!holds) {
            throw new AssertionError(line.replace('\t', ' ') + ", runs " + mesh.runs() + ", not run " + notRun);
        }
    }
}
