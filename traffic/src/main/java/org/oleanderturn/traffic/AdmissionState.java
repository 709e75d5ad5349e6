package org.oleanderturn.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One moment of a guard: what runs, what waits, and in which order the waiting work comes next.
 *
 * <p>Invariants: long work in flight stays within its limit; while work runs alone nothing else is in flight; short work
 * goes before long work, but for every eighth turn. Immutable and thread safe.
 */
record AdmissionState(
        AdmissionLimits limits,
        Optional<NotRunReason> closed,
        int inFlight,
        int longInFlight,
        boolean isAloneRunning,
        int turnsBeforeAlone,
        int shortTurns,
        List<Ticket> shortQueue,
        List<Ticket> longQueue,
        List<Ticket> aloneQueue) {
    private static final int SHORT_TURNS_BEFORE_LONG = 8;

    static AdmissionState of(AdmissionLimits limits) {
        return new AdmissionState(limits, Optional.empty(), 0, 0, false, 0, 0, List.of(), List.of(), List.of());
    }

    // -- queries

    int queued() {
        return shortQueue.size() + longQueue.size() + aloneQueue.size();
    }

    boolean isWaiting(Ticket ticket) {
        return queueOf(ticket.work()).contains(ticket);
    }

    boolean isQueueFull(Work work) {
        if (queued() >= limits.queueLimit()) {
            return true;
        }
        return work.isLong() && !work.isAlone() && longQueue.size() >= limits.longLimit(limits.queueLimit());
    }

    boolean isAdmissible(Work work, int concurrency) {
        if (isAloneRunning || inFlight >= concurrency) {
            return false;
        }
        if (work.isAlone()) {
            return inFlight == 0;
        }
        if (isGateClosing()) {
            return false;
        }
        return !work.isLong() || longInFlight < limits.longLimit(concurrency);
    }

    /** Returns the waiting work that comes next, when it can be admitted now. */
    Optional<Ticket> next(int concurrency) {
        if (isGateClosing()) {
            return admissibleHead(aloneQueue, concurrency);
        }
        boolean isLongTurn = shortTurns >= SHORT_TURNS_BEFORE_LONG;
        Optional<Ticket> first = admissibleHead(isLongTurn ? longQueue : shortQueue, concurrency);
        return first.isPresent() ? first : admissibleHead(isLongTurn ? shortQueue : longQueue, concurrency);
    }

    List<Ticket> expired(long now) {
        List<Ticket> expired = new ArrayList<>();
        for (List<Ticket> queue : List.of(shortQueue, longQueue, aloneQueue)) {
            for (Ticket ticket : queue) {
                if (ticket.patienceNanoseconds() - now <= 0) {
                    expired.add(ticket);
                }
            }
        }
        return expired;
    }

    List<Ticket> waiting() {
        List<Ticket> waiting = new ArrayList<>(shortQueue);
        waiting.addAll(longQueue);
        waiting.addAll(aloneQueue);
        return waiting;
    }

    List<Ticket> queueOf(Work work) {
        if (work.isAlone()) {
            return aloneQueue;
        }
        return work.isLong() ? longQueue : shortQueue;
    }

    // -- successors

    AdmissionState admit(Work work) {
        boolean isOrdinary = !work.isAlone();
        int turns = work.isLong() || work.isAlone() ? 0 : shortTurns + 1;
        return new AdmissionState(
                limits,
                closed,
                inFlight + 1,
                longInFlight + (work.isLong() ? 1 : 0),
                isAloneRunning || work.isAlone(),
                isOrdinary ? Math.max(0, turnsBeforeAlone - 1) : turnsBeforeAlone,
                longQueue.isEmpty() ? 0 : turns,
                shortQueue,
                longQueue,
                aloneQueue);
    }

    AdmissionState release(Work work) {
        int ordinaryWaiting = shortQueue.size() + longQueue.size();
        return new AdmissionState(
                limits,
                closed,
                inFlight - 1,
                longInFlight - (work.isLong() ? 1 : 0),
                isAloneRunning && !work.isAlone(),
                work.isAlone() ? Math.min(limits.slots(), ordinaryWaiting) : turnsBeforeAlone,
                shortTurns,
                shortQueue,
                longQueue,
                aloneQueue);
    }

    AdmissionState enqueue(Ticket ticket) {
        List<Ticket> longer = new ArrayList<>(queueOf(ticket.work()));
        longer.add(ticket);
        return withQueue(ticket.work(), List.copyOf(longer));
    }

    AdmissionState remove(Ticket ticket) {
        List<Ticket> shorter = new ArrayList<>(queueOf(ticket.work()));
        shorter.remove(ticket);
        return withQueue(ticket.work(), List.copyOf(shorter));
    }

    AdmissionState withLimits(AdmissionLimits replacement) {
        return new AdmissionState(
                replacement,
                closed,
                inFlight,
                longInFlight,
                isAloneRunning,
                turnsBeforeAlone,
                shortTurns,
                shortQueue,
                longQueue,
                aloneQueue);
    }

    AdmissionState withClosed(Optional<NotRunReason> reason) {
        return new AdmissionState(
                limits,
                reason,
                inFlight,
                longInFlight,
                isAloneRunning,
                turnsBeforeAlone,
                shortTurns,
                shortQueue,
                longQueue,
                aloneQueue);
    }

    private AdmissionState withQueue(Work work, List<Ticket> queue) {
        boolean isLong = work.isLong() && !work.isAlone();
        boolean isShort = !work.isLong() && !work.isAlone();
        return new AdmissionState(
                limits,
                closed,
                inFlight,
                longInFlight,
                isAloneRunning,
                turnsBeforeAlone,
                shortTurns,
                isShort ? queue : shortQueue,
                isLong ? queue : longQueue,
                work.isAlone() ? queue : aloneQueue);
    }

    private boolean isGateClosing() {
        boolean isOrdinaryWaiting = !shortQueue.isEmpty() || !longQueue.isEmpty();
        return !aloneQueue.isEmpty() && (turnsBeforeAlone == 0 || !isOrdinaryWaiting);
    }

    private Optional<Ticket> admissibleHead(List<Ticket> queue, int concurrency) {
        if (queue.isEmpty() || !isAdmissible(queue.getFirst().work(), concurrency)) {
            return Optional.empty();
        }
        return Optional.of(queue.getFirst());
    }
}
