package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Comparator;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.function.LongSupplier;

/**
 * Hands a target's slots to requests: by rank, then in the order of arrival.
 *
 * <p>It answers a load above what the target can run at once: a request that is expected to wait longer than it may is
 * refused on arrival, so that its caller can go elsewhere while there is time.
 *
 * <p>Invariants: no more requests hold a slot than the target has slots; a request that is refused never holds one; each
 * ticket is settled once. Thread safe.
 */
public final class SlotQueue {
    /** Weight of the newest run in the average; the last ten or so count, as loads change within seconds. */
    private static final double NEWEST_WEIGHT = 0.1;

    /** The average before the first run, in nanoseconds; the service times of the users' sheets are around it. */
    private static final double FIRST_AVERAGE_NANOSECONDS = 150e6;

    private final LongSupplier nanoseconds;
    private final PriorityQueue<SlotTicket> waiting =
            new PriorityQueue<>(Comparator.comparingInt(SlotTicket::rank).thenComparingLong(SlotTicket::number));
    private SlotState state = new SlotState(0, false, 0, 0, FIRST_AVERAGE_NANOSECONDS);
    private long tickets;

    private SlotQueue(LongSupplier nanoseconds) {
        this.nanoseconds = nanoseconds;
    }

    /** Returns a queue that is closed and has no slots. */
    public static SlotQueue of(LongSupplier nanoseconds) {
        return new SlotQueue(Objects.requireNonNull(nanoseconds, "nanoseconds is null"));
    }

    // -- queries

    /** Returns what the queue holds now. */
    public synchronized SlotState state() {
        return state;
    }

    // -- commands

    /** Takes requests for a target with the given slots. */
    public synchronized void open(int slots) {
        state = state.opened(slots);
        grant();
    }

    /** Refuses new requests and those that wait; those that run keep their slots. */
    public synchronized void close() {
        state = state.closed();
        while (!waiting.isEmpty()) {
            settle(waiting.poll(), new SlotDecision.Refused(SlotDecision.Reason.CLOSED, Duration.ZERO));
        }
    }

    /**
     * Asks for a slot.
     *
     * @param rank 0 first
     * @param longestWait the longest that the request may wait
     * @return a ticket that is settled at once when a slot is free or the request is refused
     */
    public synchronized SlotTicket request(int rank, Duration longestWait) {
        SlotTicket ticket = new SlotTicket(rank, tickets++, nanoseconds.getAsLong());
        if (!state.isOpen()) {
            settle(ticket, new SlotDecision.Refused(SlotDecision.Reason.CLOSED, Duration.ZERO));
            return ticket;
        }
        if (state.isSlotFree()) {
            begin(ticket);
            return ticket;
        }
        Duration expected = expectedWait(rank);
        if (expected.compareTo(longestWait) > 0) {
            settle(ticket, new SlotDecision.Refused(SlotDecision.Reason.FULL, expected));
            return ticket;
        }
        waiting.add(ticket);
        state = state.withWaiting(waiting.size());
        return ticket;
    }

    /** Takes back a request that waits; nothing happens to one that is settled. */
    public synchronized void withdraw(SlotTicket ticket) {
        if (waiting.remove(ticket)) {
            state = state.withWaiting(waiting.size());
            settle(ticket, new SlotDecision.Refused(SlotDecision.Reason.WITHDRAWN, expectedWait(ticket.rank())));
        }
    }

    /** Gives a slot back. */
    public synchronized void release(SlotTicket ticket) {
        if (!ticket.take()) {
            return;
        }
        long held = nanoseconds.getAsLong() - ticket.grantedNanoseconds();
        double average = state.averageNanoseconds() * (1 - NEWEST_WEIGHT) + held * NEWEST_WEIGHT;
        state = state.withRunning(state.running() - 1).withAverage(average);
        grant();
    }

    // -- state

    /** Returns how long a request of the given rank is expected to wait when it joins now. */
    private Duration expectedWait(int rank) {
        if (state.slots() == 0) {
            return Duration.ofNanos((long) state.averageNanoseconds());
        }
        long ahead = waiting.stream().filter(other -> other.rank() <= rank).count() + 1;
        return Duration.ofNanos((long) (ahead * state.averageNanoseconds() / state.slots()));
    }

    private void grant() {
        while (state.isOpen() && state.isSlotFree() && !waiting.isEmpty()) {
            begin(waiting.poll());
        }
        state = state.withWaiting(waiting.size());
    }

    private void begin(SlotTicket ticket) {
        state = state.withRunning(state.running() + 1);
        ticket.grantedAt(nanoseconds.getAsLong());
        settle(ticket, new SlotDecision.Granted());
    }

    private void settle(SlotTicket ticket, SlotDecision decision) {
        state = state.withWaiting(waiting.size());
        ticket.settle(decision);
    }
}
