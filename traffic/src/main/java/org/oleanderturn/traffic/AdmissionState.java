package org.oleanderturn.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Immutable state of an {@link AdmissionController}: what is in flight and what is queued.
 *
 * <p>Invariants: long-running requests in flight stay within their limit; nothing else is in flight beside an
 * exclusive request; queued short requests go first, but a long-running one follows after eight of them. While an
 * exclusive request is next, no new long-running request is admitted, and short ones are admitted only until the last
 * long-running request has ended. Thread safe.
 *
 * @param limits the limits
 * @param closed why nothing is admitted; empty while open
 * @param inFlight outstanding permits
 * @param longRunningInFlight outstanding permits of long-running requests
 * @param exclusiveSinceNanoseconds when the exclusive request in flight was admitted; empty when there is none
 * @param admissionsBeforeExclusive shared requests to be admitted before the next exclusive one
 * @param consecutiveShortAdmissions short requests admitted in a row while long-running ones were queued
 * @param shortQueue queued short requests
 * @param longRunningQueue queued long-running requests
 * @param exclusiveQueue queued exclusive requests
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

    boolean isExclusiveFor(long nanoseconds, long now) {
        return exclusiveSinceNanoseconds.isPresent() && now - exclusiveSinceNanoseconds.getAsLong() >= nanoseconds;
    }

    boolean isExclusiveSince(long admittedNanoseconds) {
        return exclusiveSinceNanoseconds.isPresent() && exclusiveSinceNanoseconds.getAsLong() == admittedNanoseconds;
    }

    boolean isQueued(AdmissionTicket ticket) {
        return queueOf(ticket.request()).contains(ticket);
    }

    boolean isQueueFull(AdmissionRequest request) {
        if (queued() >= limits.queueLimit()) {
            return true;
        }
        return request.isLongRunning()
                && !request.isExclusive()
                && longRunningQueue.size() >= limits.longRunningLimit(limits.queueLimit());
    }

    boolean isAdmissible(AdmissionRequest request, int concurrency) {
        if (exclusiveSinceNanoseconds.isPresent() || inFlight >= concurrency) {
            return false;
        }
        if (request.isExclusive()) {
            return inFlight == 0;
        }
        if (isExclusiveNext() && (request.isLongRunning() || longRunningInFlight == 0)) {
            return false;
        }
        return !request.isLongRunning() || longRunningInFlight < limits.longRunningLimit(concurrency);
    }

    /** Returns the queued request that is next, if it can be admitted now. */
    Optional<AdmissionTicket> nextAdmissible(int concurrency) {
        if (isExclusiveNext()) {
            return admissibleHead(longRunningInFlight == 0 ? exclusiveQueue : shortQueue, concurrency);
        }
        boolean isLongRunningTurn = consecutiveShortAdmissions >= SHORT_ADMISSIONS_PER_LONG_RUNNING;
        Optional<AdmissionTicket> first =
                admissibleHead(isLongRunningTurn ? longRunningQueue : shortQueue, concurrency);
        return first.isPresent()
                ? first
                : admissibleHead(isLongRunningTurn ? shortQueue : longRunningQueue, concurrency);
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
        List<AdmissionTicket> tickets = new ArrayList<>(shortQueue);
        tickets.addAll(longRunningQueue);
        tickets.addAll(exclusiveQueue);
        return tickets;
    }

    List<AdmissionTicket> queueOf(AdmissionRequest request) {
        if (request.isExclusive()) {
            return exclusiveQueue;
        }
        return request.isLongRunning() ? longRunningQueue : shortQueue;
    }

    // -- successors

    AdmissionState admit(AdmissionRequest request, long now) {
        boolean isShared = !request.isExclusive();
        int shortAdmissions = request.isLongRunning() || request.isExclusive() ? 0 : consecutiveShortAdmissions + 1;
        return new AdmissionState(
                limits,
                closed,
                inFlight + 1,
                longRunningInFlight + (request.isLongRunning() ? 1 : 0),
                request.isExclusive() ? OptionalLong.of(now) : exclusiveSinceNanoseconds,
                isShared ? Math.max(0, admissionsBeforeExclusive - 1) : admissionsBeforeExclusive,
                longRunningQueue.isEmpty() ? 0 : shortAdmissions,
                shortQueue,
                longRunningQueue,
                exclusiveQueue);
    }

    AdmissionState release(AdmissionRequest request) {
        int sharedQueued = shortQueue.size() + longRunningQueue.size();
        return new AdmissionState(
                limits,
                closed,
                inFlight - 1,
                longRunningInFlight - (request.isLongRunning() ? 1 : 0),
                request.isExclusive() ? OptionalLong.empty() : exclusiveSinceNanoseconds,
                request.isExclusive() ? Math.min(limits.slots(), sharedQueued) : admissionsBeforeExclusive,
                consecutiveShortAdmissions,
                shortQueue,
                longRunningQueue,
                exclusiveQueue);
    }

    AdmissionState enqueue(AdmissionTicket ticket) {
        List<AdmissionTicket> tickets = new ArrayList<>(queueOf(ticket.request()));
        tickets.add(ticket);
        return withQueue(ticket.request(), List.copyOf(tickets));
    }

    AdmissionState remove(AdmissionTicket ticket) {
        List<AdmissionTicket> tickets = new ArrayList<>(queueOf(ticket.request()));
        tickets.remove(ticket);
        return withQueue(ticket.request(), List.copyOf(tickets));
    }

    /** Lets other requests run beside the exclusive one in flight. */
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

    private AdmissionState withQueue(AdmissionRequest request, List<AdmissionTicket> queue) {
        boolean isLong = request.isLongRunning() && !request.isExclusive();
        boolean isShort = !request.isLongRunning() && !request.isExclusive();
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
                request.isExclusive() ? queue : exclusiveQueue);
    }

    /** Returns whether an exclusive request is next; long-running requests end first, then short ones. */
    private boolean isExclusiveNext() {
        boolean isSharedQueued = !shortQueue.isEmpty() || !longRunningQueue.isEmpty();
        return !exclusiveQueue.isEmpty() && (admissionsBeforeExclusive == 0 || !isSharedQueued);
    }

    private Optional<AdmissionTicket> admissibleHead(List<AdmissionTicket> queue, int concurrency) {
        if (queue.isEmpty() || !isAdmissible(queue.getFirst().request(), concurrency)) {
            return Optional.empty();
        }
        return Optional.of(queue.getFirst());
    }
}
