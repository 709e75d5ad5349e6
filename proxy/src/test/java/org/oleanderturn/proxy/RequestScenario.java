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
import org.oleanderturn.proxy.FaultRelay.FaultAction;
import org.oleanderturn.proxy.FaultRelay.Step;
import org.oleanderturn.store.FakeStore;

/** Sends one request into one fault, repeats it at another entry, and checks the invariants. */
final class RequestScenario {
    private static final Duration TIMEOUT = Duration.ofSeconds(50);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);
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
        CALLER_DISCONNECTED,
        TARGET_CRASHED,
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

    /** A combination of protocol, hop, step and fault. */
    record FaultCase(Protocol protocol, Hop hop, Step step, Fault fault) {
        boolean isApplicable() {
            boolean isStoreFault = fault.name().startsWith("STORE_");
            return switch (fault) {
                case REFUSED, TARGET_SHEDS -> step == Step.CONNECT;
                default -> !isStoreFault || (protocol == Protocol.BOOKING && hop == Hop.TO_TARGET);
            };
        }

        /** Returns whether the request must succeed despite the fault, because a retry elsewhere is safe. */
        boolean isRecoverable() {
            boolean isConnectionFault = fault == Fault.RESET || fault == Fault.CLOSED || fault == Fault.REFUSED;
            boolean isBeforeRun = step == Step.CONNECT || (step == Step.CONTINUE && hop == Hop.TO_GUARD);
            boolean isBeforeResponse = isBeforeRun || step == Step.CONTINUE || step == Step.BODY_SENT;
            return switch (fault) {
                case REFUSED, TARGET_SHEDS, DRAIN, STOP, STOP_ENTRY, SENT_TWICE -> true;
                default ->
                    isConnectionFault
                            && (protocol == Protocol.FORWARD ? isBeforeResponse : isBeforeRun && hop == Hop.TO_GUARD);
            };
        }
    }

    private final FaultCase faultCase;
    private final AtomicBoolean isFaultReached = new AtomicBoolean();
    private final CountDownLatch faultApplied = new CountDownLatch(1);
    private final Cancellation callerCancellation = Cancellation.create();
    private final List<String> report = Collections.synchronizedList(new ArrayList<>());
    private final List<String> notRunRequestIds = Collections.synchronizedList(new ArrayList<>());
    private final List<Future<Boolean>> shutdowns = Collections.synchronizedList(new ArrayList<>());
    private volatile int runsAtDrain = -1;
    private FakeMesh mesh;

    RequestScenario(FaultCase faultCase) {
        this.faultCase = faultCase;
    }

    List<String> report() {
        return List.copyOf(report);
    }

    void run() throws Exception {
        FaultRelay.FaultInjector faultInjector = this::actionAt;
        FaultRelay.FaultInjector noFault = _ -> FaultAction.PASS;
        boolean isToGuard = faultCase.hop() == Hop.TO_GUARD;
        try (FakeMesh created =
                new FakeMesh(isToGuard ? faultInjector : noFault, isToGuard ? noFault : faultInjector)) {
            mesh = created;
            prepare();
            Duration deadline = faultCase.fault() == Fault.FROZEN ? SHORT_TIMEOUT : TIMEOUT;
            Optional<Reply> reply = mesh.sendToFirst(call("first", deadline, callerCancellation));
            check("fault reached", faultApplied.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
            checkReply("first", reply);
            if (faultCase.isRecoverable()) {
                check(
                        "served",
                        reply.filter(received -> received.status() == 200).isPresent());
            }
            awaitShutdowns();
            sendAgain("again");
            mesh.store().clearFaults();
            mesh.store().applyLateWrites();
            mesh.settlePendingClaims();
            sendAgain("after");
            checkSlots();
            checkRuns();
        }
    }

    // -- faults

    private void prepare() {
        switch (faultCase.fault()) {
            case REFUSED -> {
                isFaultReached.set(true);
                if (faultCase.hop() == Hop.TO_GUARD) {
                    mesh.near().refuseConnections();
                } else {
                    mesh.near().refuseTargetConnections();
                }
            }
            case TARGET_SHEDS -> {
                isFaultReached.set(true);
                mesh.near().target().setShedding(true);
            }
            case STORE_UNREACHABLE, STORE_ANSWER_LOST, STORE_REQUEST_LOST, STORE_EFFECT_LATE -> {
                if (faultCase.step() == Step.CONNECT) {
                    isFaultReached.set(true);
                    mesh.store().setDefaultFault(storeFault());
                }
            }
            default -> {}
        }
        if (isFaultReached.get()) {
            faultApplied.countDown();
        }
    }

    private FaultAction actionAt(Step step) {
        if (step != faultCase.step() || !isFaultReached.compareAndSet(false, true)) {
            return FaultAction.PASS;
        }
        applyFault();
        faultApplied.countDown();
        return switch (faultCase.fault()) {
            case RESET -> FaultAction.RESET;
            case CLOSED -> FaultAction.CLOSE;
            case FROZEN -> FaultAction.HOLD;
            case CALLER_DISCONNECTED ->
                faultCase.protocol() == Protocol.FORWARD ? FaultAction.HOLD_FOR_CLIENT : FaultAction.PASS;
            default -> FaultAction.PASS;
        };
    }

    private void applyFault() {
        switch (faultCase.fault()) {
            case CALLER_DISCONNECTED -> callerCancellation.cancel();
            case TARGET_CRASHED -> mesh.near().killTarget();
            case SENT_TWICE -> sendAgain("twice");
            case DRAIN -> {
                mesh.near().drain();
                runsAtDrain = mesh.near().target().runs().size();
            }
            case STOP -> shutdowns.add(mesh.executor().submit(mesh.near()::stop));
            case STOP_ENTRY -> shutdowns.add(mesh.executor().submit(mesh::stopFirstEntry));
            case STORE_UNREACHABLE, STORE_ANSWER_LOST, STORE_REQUEST_LOST, STORE_EFFECT_LATE ->
                mesh.store().setDefaultFault(storeFault());
            default -> {}
        }
    }

    private FakeStore.Fault storeFault() {
        return FakeStore.Fault.valueOf(faultCase.fault().name().substring("STORE_".length()));
    }

    private void awaitShutdowns() throws Exception {
        for (Future<Boolean> shutdown : List.copyOf(shutdowns)) {
            check("clean shutdown", shutdown.get(40, TimeUnit.SECONDS));
        }
    }

    // -- requests

    private Call call(String requestId, Duration deadline, Cancellation cancellation) {
        String path = "/" + (faultCase.protocol() == Protocol.BOOKING ? "booking" : "lookup");
        return new Call(path, requestId, KEY, deadline, cancellation);
    }

    private void sendAgain(String requestId) {
        Cancellation notCancelled = Cancellation.create();
        checkReply(requestId, mesh.sendToSecond(call(requestId, TIMEOUT, notCancelled)));
    }

    private void checkReply(String requestId, Optional<Reply> reply) {
        if (reply.isEmpty()) {
            boolean isLossAllowed = faultCase.fault() == Fault.CALLER_DISCONNECTED
                    || faultCase.step().compareTo(Step.RESPONSE_STARTED) >= 0
                    || faultCase.fault() == Fault.STOP_ENTRY;
            check("connection lost only after the response started", isLossAllowed || !requestId.equals("first"));
            return;
        }
        Reply received = reply.get();
        check("outcome stated", received.outcome().isPresent());
        if (received.isOutcome(RequestOutcome.NOT_RUN)) {
            notRunRequestIds.add(requestId);
            check("retry delay stated", received.hasRetryAfter());
        }
        if (received.isOutcome(RequestOutcome.UNKNOWN)) {
            check("retry delay stated", received.hasRetryAfter());
        }
        if (received.status() == 200) {
            check("complete response to its own request", isResponseTo(requestId, received.body()));
        }
    }

    private boolean isResponseTo(String requestId, String body) {
        if (faultCase.protocol() == Protocol.FORWARD) {
            return body.equals(FakeTarget.responseBodyFor(requestId));
        }
        return mesh.runs().stream().anyMatch(run -> body.equals(FakeTarget.responseBodyFor(run)));
    }

    // -- invariants

    private void checkSlots() throws InterruptedException {
        long deadlineNanoseconds = System.nanoTime() + TIMEOUT.dividedBy(2).toNanos();
        while (mesh.near().inFlight() + mesh.far().inFlight() > 0 && System.nanoTime() < deadlineNanoseconds) {
            TimeUnit.MILLISECONDS.sleep(2);
        }
        check("slots released", mesh.near().inFlight() + mesh.far().inFlight() == 0);
    }

    private void checkRuns() {
        List<String> runs = mesh.runs();
        check("requests reported as not run did not run", runs.stream().noneMatch(notRunRequestIds::contains));
        if (faultCase.protocol() == Protocol.BOOKING) {
            check("at most one run", runs.size() <= 1);
        }
        if (runsAtDrain >= 0) {
            long runsAfterDrain = mesh.near().target().runs().stream()
                    .filter(run -> !run.equals("first"))
                    .count();
            check("no new requests at a draining target", runsAfterDrain == 0);
        }
    }

    private void check(String invariant, boolean holds) {
        String line = String.join(
                "\t",
                faultCase.protocol().name().toLowerCase(Locale.ROOT),
                faultCase.hop().name().toLowerCase(Locale.ROOT) + "/"
                        + faultCase.step().name().toLowerCase(Locale.ROOT),
                faultCase.fault().name().toLowerCase(Locale.ROOT),
                invariant,
                holds ? "passed" : "red");
        report.add(line);
        if (!holds) {
            throw new AssertionError(
                    line.replace('\t', ' ') + ", runs " + mesh.runs() + ", not run " + notRunRequestIds);
        }
    }
}
