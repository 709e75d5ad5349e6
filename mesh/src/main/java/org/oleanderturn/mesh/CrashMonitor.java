package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.traffic.CrashLedger;
import org.oleanderturn.traffic.CrashSuspicion;
import org.oleanderturn.traffic.CrashVerdict;
import org.oleanderturn.traffic.Fingerprint;
import org.oleanderturn.traffic.UnansweredRuns;

/**
 * Watches the runs of a node's guard and the attempts of its entry for targets and nodes that end under them, and keeps
 * the {@link CrashLedger} up to date.
 *
 * <p>A guard sees its target end. An entry sees a guard's node end, which may have taken the only witness along.
 *
 * <p>Invariant: each change of the ledger made here is published to the other nodes and recorded in the decision log.
 * A trial begins only after another node or the store keeps its suspicion, if either can be reached. Thread safe; blocks
 * only where a {@link TrialAgreement} or a {@link SuspicionKeeper} is asked.
 */
public final class CrashMonitor {
    /** Most requests complete within this time, and a completed trial clears the request. */
    private static final Duration TRIAL_RETRY_AFTER = Duration.ofSeconds(1);

    private final NodeId self;
    private final CrashLedger ledger;
    private final DecisionLog decisionLog;
    private final UnansweredRuns<TargetStart, Run> targetRuns;
    private final UnansweredRuns<NodeId, Run> guardRuns;
    private final AtomicReference<TrialAgreement> agreement = new AtomicReference<>((_, _) -> true);
    private final AtomicReference<SuspicionKeeper> keeper = new AtomicReference<>(_ -> {});
    private final AtomicReference<Consumer<List<CrashSuspicion>>> publisher = new AtomicReference<>(_ -> {});

    private CrashMonitor(NodeId self, CrashLedger ledger, DecisionLog decisionLog, LongSupplier nanoseconds) {
        this.self = self;
        this.ledger = ledger;
        this.decisionLog = decisionLog;
        this.targetRuns = UnansweredRuns.of(nanoseconds);
        this.guardRuns = UnansweredRuns.of(nanoseconds);
    }

    /** Returns the monitor of a node; it publishes nothing until {@link #onChange} is called. */
    public static CrashMonitor of(NodeId self, CrashLedger ledger, DecisionLog decisionLog, LongSupplier nanoseconds) {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(ledger, "ledger is null");
        Objects.requireNonNull(decisionLog, "decisionLog is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        return new CrashMonitor(self, ledger, decisionLog, nanoseconds);
    }

    /** One run of a request at a target, or one attempt of it at a guard. Compared by identity. */
    static final class Run {
        private final String attemptId;
        private final RequestIdentity identity;
        private final CrashLedger.Generation generation;
        private boolean isGivenUp;
        private boolean isPlaceEnded;

        private Run(String attemptId, RequestIdentity identity, CrashLedger.Generation generation) {
            this.attemptId = attemptId;
            this.identity = identity;
            this.generation = generation;
        }

        /** Records that nobody waits for the run any more; returns whether its place had ended before. */
        private synchronized boolean markGivenUp() {
            isGivenUp = true;
            return isPlaceEnded;
        }

        /** Records that the place of the run has ended; returns whether the run had been given up before. */
        private synchronized boolean markPlaceEnded() {
            isPlaceEnded = true;
            return isGivenUp;
        }
    }

    // -- queries

    /** Returns whether a request may be sent to a target; doesn't compute its fingerprint while none is suspect. */
    CrashVerdict verdict(RequestIdentity identity) {
        return ledger.hasSuspects() ? ledger.verdict(identity.fingerprint()) : new CrashVerdict.Clear();
    }

    /** Returns what to tell a guard of a request; empty if it is not under suspicion. */
    Optional<CrashSuspicion> suspicion(RequestIdentity identity) {
        return ledger.hasSuspects() ? ledger.suspicion(identity.fingerprint()) : Optional.empty();
    }

    // -- commands

    /** Sets the listener for the suspicions that this node changes. */
    public void onChange(Consumer<List<CrashSuspicion>> listener) {
        publisher.set(Objects.requireNonNull(listener, "listener is null"));
    }

    /** Sets what agrees with other nodes on trials from {@link CrashLedger#AGREED_LEVEL} on. */
    public void onAgreedTrial(TrialAgreement trialAgreement) {
        agreement.set(Objects.requireNonNull(trialAgreement, "trialAgreement is null"));
    }

    /** Sets what keeps the suspicion of a trial before the trial begins. */
    public void onTrial(SuspicionKeeper suspicionKeeper) {
        keeper.set(Objects.requireNonNull(suspicionKeeper, "suspicionKeeper is null"));
    }

    /** Merges what an entry knows of the request that it sends. */
    void merge(CrashSuspicion suspicion) {
        var _ = ledger.merge(List.of(suspicion));
    }

    /** Records that a request is refused. */
    void recordRefusal(String attemptId, RequestIdentity identity, CrashVerdict.Quarantined verdict) {
        decisionLog.record(new Decision.Quarantined(attemptId, identity.fingerprint(), verdict));
    }

    // -- runs of the guard

    /** Begins a run at the local target; empty if the request is refused, as {@link #verdict} then says. */
    Optional<Run> beginRun(TargetStart start, String attemptId, RequestIdentity identity) {
        Optional<CrashLedger.Generation> generation = generation(attemptId, identity);
        if (generation.isEmpty()) {
            return Optional.empty();
        }
        Run run = new Run(attemptId, identity, generation.get());
        targetRuns.begin(start, run);
        return Optional.of(run);
    }

    private Optional<CrashLedger.Generation> generation(String attemptId, RequestIdentity identity) {
        return switch (verdict(identity)) {
            case CrashVerdict.Clear _ ->
                Optional.of(
                        ledger.hasSuspects()
                                ? ledger.generation(identity.fingerprint())
                                : CrashLedger.Generation.unsuspected());
            case CrashVerdict.Quarantined _ -> Optional.empty();
            case CrashVerdict.Suspect suspect -> {
                Optional<CrashLedger.Generation> trial = isAgreed(identity, suspect)
                        ? ledger.beginTrial(identity.fingerprint(), self)
                        : Optional.empty();
                if (trial.isPresent()) {
                    decisionLog.record(
                            new Decision.SuspectTried(attemptId, identity.fingerprint(), suspect.level() + 1));
                    suspicion(identity).ifPresent(keeper.get()::keep);
                    publish(List.of(identity));
                }
                yield trial;
            }
        };
    }

    private boolean isAgreed(RequestIdentity identity, CrashVerdict.Suspect suspect) {
        return suspect.level() < CrashLedger.AGREED_LEVEL
                || agreement.get().isGranted(identity.fingerprint(), suspect.level());
    }

    /** Records that the target responded to a run, which shows that the request does not crash it. */
    void completeRun(TargetStart start, Run run) {
        targetRuns.answer(start, run);
        if (!ledger.hasSuspects()) {
            return;
        }
        Fingerprint fingerprint = run.identity.fingerprint();
        Optional<CrashSuspicion> before = ledger.suspicion(fingerprint).filter(suspicion -> suspicion.level() > 0);
        if (before.isPresent()) {
            ledger.recordCompletion(fingerprint);
            decisionLog.record(new Decision.SuspectCleared(
                    run.attemptId, fingerprint, before.get().level()));
            publish(List.of(run.identity));
        }
    }

    /** Records that a run did not begin after all. */
    void cancelRun(TargetStart start, Run run) {
        targetRuns.answer(start, run);
        withdrawTrial(run);
    }

    /** Records that a run ended without a response while the target, as far as is known, lives. */
    void giveUpRun(TargetStart start, Run run) {
        targetRuns.giveUp(start, run);
        withdrawTrial(run);
    }

    private void withdrawTrial(Run run) {
        if (run.generation.isTrial()) {
            ledger.withdrawTrial(run.identity.fingerprint(), run.generation);
            publish(List.of(run.identity));
        }
    }

    /** Records that a process of the local target ended without having said so before. */
    public void endTarget(TargetStart start) {
        recordCrash(targetRuns.end(start), self, "target " + start.instance() + " ended");
    }

    // -- attempts of the entry

    /** Records that the entry sends an attempt to a guard of another node. */
    Run beginAttempt(NodeId node, String attemptId, RequestIdentity identity) {
        CrashLedger.Generation generation =
                ledger.hasSuspects() ? ledger.generation(identity.fingerprint()) : CrashLedger.Generation.unsuspected();
        Run run = new Run(attemptId, identity, generation);
        guardRuns.begin(node, run);
        return run;
    }

    /** Records that a guard replied to an attempt, or that it never got it. */
    void completeAttempt(NodeId node, Run run) {
        guardRuns.answer(node, run);
    }

    /** Records that a guard's target ended under an attempt; the guard tells all nodes, but its word may come later. */
    void recordTargetEnded(NodeId node, Run run) {
        guardRuns.answer(node, run);
        ledger.recordCrash(run.identity.fingerprint(), run.generation, node);
    }

    /** Records that an attempt, which may have reached its guard, ended without a reply. */
    void giveUpAttempt(NodeId node, Run run) {
        if (run.markGivenUp()) {
            recordNodeEnd(List.of(run), node);
        } else {
            guardRuns.giveUp(node, run);
        }
    }

    /**
     * Records that a node ended without having said so before; nobody may be left who saw its target end. An attempt that is
     * still under way counts when it is given up, as it may turn out not to have reached the node.
     */
    public void endNode(NodeId node) {
        recordNodeEnd(guardRuns.end(node).stream().filter(Run::markPlaceEnded).toList(), node);
    }

    private void recordNodeEnd(List<Run> runs, NodeId node) {
        recordCrash(runs, node, "node " + node + " ended");
    }

    /** Records that a node left after it had completed its requests. */
    public void leaveNode(NodeId node) {
        var _ = guardRuns.end(node);
    }

    // -- crashes

    private void recordCrash(List<Run> runs, NodeId node, String cause) {
        List<RequestIdentity> changed = new ArrayList<>();
        for (Run run : runs) {
            Fingerprint fingerprint = run.identity.fingerprint();
            ledger.recordCrash(fingerprint, run.generation, node);
            changed.add(run.identity);
            int level = ledger.suspicion(fingerprint).map(CrashSuspicion::level).orElse(0);
            decisionLog.record(new Decision.Suspected(run.attemptId, fingerprint, cause, runs.size(), level));
        }
        publish(changed);
    }

    private void publish(List<RequestIdentity> changed) {
        List<CrashSuspicion> suspicions = changed.stream()
                .map(RequestIdentity::fingerprint)
                .distinct()
                .flatMap(fingerprint -> ledger.suspicion(fingerprint).stream())
                .toList();
        if (!suspicions.isEmpty()) {
            publisher.get().accept(suspicions);
        }
    }

    /** Returns when a client should come back whose request is refused because another run of it is under way. */
    static Duration trialRetryAfter() {
        return TRIAL_RETRY_AFTER;
    }

    /** Returns when a client that is refused should come back: at the end of the pause, or when a trial may be over. */
    static Duration retryAfter(CrashVerdict.Quarantined verdict) {
        boolean isTrialShorter = verdict.isTrial() && verdict.remaining().compareTo(TRIAL_RETRY_AFTER) > 0;
        return isTrialShorter ? TRIAL_RETRY_AFTER : verdict.remaining();
    }
}
