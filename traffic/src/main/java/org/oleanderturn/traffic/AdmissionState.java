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
 * @param longRunningInFlight permits out for long work
 * @param exclusiveSinceNanoseconds since when a request has run alone, when one does
 * @param admissionsBeforeExclusive ordinary requests that go before the next suspect
 * @param consecutiveShortAdmissions short requests admitted while long ones waited
 * @param shortQueue short requests that wait
 * @param longRunningQueue long requests that wait
 * @param exclusiveQueue suspects that wait
 */
record AdmissionState(
        AdmissionLimits limits,
        Optional<NotRunReason> closed,
        int inFlight,
        int longRunningInFlight,
        OptionalLong exclusiveSinceNanoseconds,
        int admissionsBeforeExclusive,
        int consecutiveShortAdmissions,
        List<AdmissionTicket> shortQueue,
        List<AdmissionTicket> longRunningQueue,
        List<AdmissionTicket> exclusiveQueue) {
    private static final int SHORT_ADMISSIONS_PER_LONG_RUNNING = 8;

    static AdmissionState of(AdmissionLimits limits) {
        return new AdmissionState(
                limits, Optional.empty(), 0, 0, OptionalLong.empty(), 0, 0, List.of(), List.of(), List.of());
    }

    // -- queries

    int queued() {
        return shortQueue.size() + longRunningQueue.size() + exclusiveQueue.size();
    }

    boolean isExclusiveFor(long span, long now) {
        return exclusiveSinceNanoseconds.isPresent() && now - exclusiveSinceNanoseconds.getAsLong() >= span;
    }

    boolean isExclusiveSince(long admitted) {
        return exclusiveSinceNanoseconds.isPresent() && exclusiveSinceNanoseconds.getAsLong() == admitted;
    }

    boolean isQueued(AdmissionTicket ticket) {
        return queueOf(ticket.request()).contains(ticket);
    }

    boolean isQueueFull(AdmissionRequest work) {
        if (queued() >= limits.queueLimit()) {
            return true;
        }
        return work.isLongRunning()
                && !work.isExclusive()
                && longRunningQueue.size() >= limits.longRunningLimit(limits.queueLimit());
    }

    boolean isAdmissible(AdmissionRequest work, int concurrency) {
        if (exclusiveSinceNanoseconds.isPresent() || inFlight >= concurrency) {
            return false;
        }
        if (work.isExclusive()) {
            return inFlight == 0;
        }
        if (isExclusiveNext() && (work.isLongRunning() || longRunningInFlight == 0)) {
            return false;
        }
        return !work.isLongRunning() || longRunningInFlight < limits.longRunningLimit(concurrency);
    }

    /** Returns the waiting work that comes next, when it can be admitted now. */
    Optional<AdmissionTicket> nextAdmissible(int concurrency) {
        if (isExclusiveNext()) {
            return admissibleHead(longRunningInFlight == 0 ? exclusiveQueue : shortQueue, concurrency);
        }
        boolean isLongTurn = consecutiveShortAdmissions >= SHORT_ADMISSIONS_PER_LONG_RUNNING;
        Optional<AdmissionTicket> first = admissibleHead(isLongTurn ? longRunningQueue : shortQueue, concurrency);
        return first.isPresent() ? first : admissibleHead(isLongTurn ? shortQueue : longRunningQueue, concurrency);
    }

    List<AdmissionTicket> expired(long now) {
        List<AdmissionTicket> expired = new ArrayList<>();
        for (List<AdmissionTicket> queue : List.of(shortQueue, longRunningQueue, exclusiveQueue)) {
            for (AdmissionTicket ticket : queue) {
                if (ticket.queueDeadlineNanoseconds() - now <= 0) {
                    expired.add(ticket);
                }
            }
        }
        return expired;
    }

    List<AdmissionTicket> allQueued() {
        List<AdmissionTicket> waiting = new ArrayList<>(shortQueue);
        waiting.addAll(longRunningQueue);
        waiting.addAll(exclusiveQueue);
        return waiting;
    }

    List<AdmissionTicket> queueOf(AdmissionRequest work) {
        if (work.isExclusive()) {
            return exclusiveQueue;
        }
        return work.isLongRunning() ? longRunningQueue : shortQueue;
    }

    // -- successors

    AdmissionState admit(AdmissionRequest work, long now) {
        boolean isOrdinary = !work.isExclusive();
        int turns = work.isLongRunning() || work.isExclusive() ? 0 : consecutiveShortAdmissions + 1;
        return new AdmissionState(
                limits,
                closed,
                inFlight + 1,
                longRunningInFlight + (work.isLongRunning() ? 1 : 0),
                work.isExclusive() ? OptionalLong.of(now) : exclusiveSinceNanoseconds,
                isOrdinary ? Math.max(0, admissionsBeforeExclusive - 1) : admissionsBeforeExclusive,
                longRunningQueue.isEmpty() ? 0 : turns,
                shortQueue,
                longRunningQueue,
                exclusiveQueue);
    }

    AdmissionState release(AdmissionRequest work) {
        int ordinaryWaiting = shortQueue.size() + longRunningQueue.size();
        return new AdmissionState(
                limits,
                closed,
                inFlight - 1,
                longRunningInFlight - (work.isLongRunning() ? 1 : 0),
                work.isExclusive() ? OptionalLong.empty() : exclusiveSinceNanoseconds,
                work.isExclusive() ? Math.min(limits.slots(), ordinaryWaiting) : admissionsBeforeExclusive,
                consecutiveShortAdmissions,
                shortQueue,
                longRunningQueue,
                exclusiveQueue);
    }

    AdmissionState enqueue(AdmissionTicket ticket) {
        List<AdmissionTicket> longer = new ArrayList<>(queueOf(ticket.request()));
        longer.add(ticket);
        return withQueue(ticket.request(), List.copyOf(longer));
    }

    AdmissionState remove(AdmissionTicket ticket) {
        List<AdmissionTicket> shorter = new ArrayList<>(queueOf(ticket.request()));
        shorter.remove(ticket);
        return withQueue(ticket.request(), List.copyOf(shorter));
    }

    /** Lets others run beside the work that ran alone until now. */
    AdmissionState endExclusivity() {
        return new AdmissionState(
                limits,
                closed,
                inFlight,
                longRunningInFlight,
                OptionalLong.empty(),
                admissionsBeforeExclusive,
                consecutiveShortAdmissions,
                shortQueue,
                longRunningQueue,
                exclusiveQueue);
    }

    AdmissionState withLimits(AdmissionLimits replacement) {
        return new AdmissionState(
                replacement,
                closed,
                inFlight,
                longRunningInFlight,
                exclusiveSinceNanoseconds,
                admissionsBeforeExclusive,
                consecutiveShortAdmissions,
                shortQueue,
                longRunningQueue,
                exclusiveQueue);
    }

    AdmissionState withClosed(Optional<NotRunReason> reason) {
        return new AdmissionState(
                limits,
                reason,
                inFlight,
                longRunningInFlight,
                exclusiveSinceNanoseconds,
                admissionsBeforeExclusive,
                consecutiveShortAdmissions,
                shortQueue,
                longRunningQueue,
                exclusiveQueue);
    }

    private AdmissionState withQueue(AdmissionRequest work, List<AdmissionTicket> queue) {
        boolean isLong = work.isLongRunning() && !work.isExclusive();
        boolean isShort = !work.isLongRunning() && !work.isExclusive();
        return new AdmissionState(
                limits,
                closed,
                inFlight,
                longRunningInFlight,
                exclusiveSinceNanoseconds,
                admissionsBeforeExclusive,
                consecutiveShortAdmissions,
                isShort ? queue : shortQueue,
                isLong ? queue : longRunningQueue,
                work.isExclusive() ? queue : exclusiveQueue);
    }

    /** Returns whether suspects have their turn: long work ends first, then short work, then a suspect runs. */
    private boolean isExclusiveNext() {
        boolean isOrdinaryWaiting = !shortQueue.isEmpty() || !longRunningQueue.isEmpty();
        return !exclusiveQueue.isEmpty() && (admissionsBeforeExclusive == 0 || !isOrdinaryWaiting);
    }

    private Optional<AdmissionTicket> admissibleHead(List<AdmissionTicket> queue, int concurrency) {
        if (queue.isEmpty() || !isAdmissible(queue.getFirst().request(), concurrency)) {
            return Optional.empty();
        }
        return Optional.of(queue.getFirst());
    }
}
