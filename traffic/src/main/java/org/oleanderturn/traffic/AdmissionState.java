package org.oleanderturn.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * One moment of a guard: what runs, what waits, and in which order the waiting work comes next.
 *
 * <p>Invariants: long work in flight stays within its limit; while work runs alone nothing else is in flight; short work
 * goes before long work, but for every eighth turn. Before a suspect runs, no new long work starts; short work does until
 * the long work has ended. Immutable and thread safe.
 *
 * @param limits the limits
 * @param closed why no permit is given, when none is
 * @param inFlight permits out
 * @param longInFlight permits out for long work
 * @param aloneNanoseconds since when a request has run alone, when one does
 * @param turnsBeforeAlone ordinary requests that go before the next suspect
 * @param shortTurns short requests admitted while long ones waited
 * @param shortQueue short requests that wait
 * @param longQueue long requests that wait
 * @param aloneQueue suspects that wait
 */
record AdmissionState(
        AdmissionLimits limits,
        Optional<NotRunReason> closed,
        int inFlight,
        int longInFlight,
        OptionalLong aloneNanoseconds,
        int turnsBeforeAlone,
        int shortTurns,
        List<Ticket> shortQueue,
        List<Ticket> longQueue,
        List<Ticket> aloneQueue) {
    private static final int SHORT_TURNS_BEFORE_LONG = 8;

    static AdmissionState of(AdmissionLimits limits) {
        return new AdmissionState(
                limits, Optional.empty(), 0, 0, OptionalLong.empty(), 0, 0, List.of(), List.of(), List.of());
    }

    // -- queries

    int queued() {
        return shortQueue.size() + longQueue.size() + aloneQueue.size();
    }

    boolean isAloneFor(long span, long now) {
        return aloneNanoseconds.isPresent() && now - aloneNanoseconds.getAsLong() >= span;
    }

    boolean isAloneSince(long admitted) {
        return aloneNanoseconds.isPresent() && aloneNanoseconds.getAsLong() == admitted;
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
        if (aloneNanoseconds.isPresent() || inFlight >= concurrency) {
            return false;
        }
        if (work.isAlone()) {
            return inFlight == 0;
        }
        if (isAloneNext() && (work.isLong() || longInFlight == 0)) {
            return false;
        }
        return !work.isLong() || longInFlight < limits.longLimit(concurrency);
    }

    /** Returns the waiting work that comes next, when it can be admitted now. */
    Optional<Ticket> next(int concurrency) {
        if (isAloneNext()) {
            return admissibleHead(longInFlight == 0 ? aloneQueue : shortQueue, concurrency);
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

    AdmissionState admit(Work work, long now) {
        boolean isOrdinary = !work.isAlone();
        int turns = work.isLong() || work.isAlone() ? 0 : shortTurns + 1;
        return new AdmissionState(
                limits,
                closed,
                inFlight + 1,
                longInFlight + (work.isLong() ? 1 : 0),
                work.isAlone() ? OptionalLong.of(now) : aloneNanoseconds,
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
                work.isAlone() ? OptionalLong.empty() : aloneNanoseconds,
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

    /** Lets others run beside the work that ran alone until now. */
    AdmissionState share() {
        return new AdmissionState(
                limits,
                closed,
                inFlight,
                longInFlight,
                OptionalLong.empty(),
                turnsBeforeAlone,
                shortTurns,
                shortQueue,
                longQueue,
                aloneQueue);
    }

    AdmissionState withLimits(AdmissionLimits replacement) {
        return new AdmissionState(
                replacement,
                closed,
                inFlight,
                longInFlight,
                aloneNanoseconds,
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
                aloneNanoseconds,
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
                aloneNanoseconds,
                turnsBeforeAlone,
                shortTurns,
                isShort ? queue : shortQueue,
                isLong ? queue : longQueue,
                work.isAlone() ? queue : aloneQueue);
    }

    /** Returns whether suspects have their turn: long work ends first, then short work, then a suspect runs. */
    private boolean isAloneNext() {
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
