package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Hands a target's slots to requests.
 *
 * <p>It answers a load above what the target can run. A slot goes to the request that still gains most by it: one whose
 * answer can come while it is worth most, by rank and then by what is due first; the late ones take what is left, in the
 * same order. In a queue by arrival, a load a little above the target's makes every answer late. A request that can't be
 * served in its time is refused on arrival, or as soon as others that go before it leave no time for it, so that its
 * caller can go elsewhere meanwhile.
 *
 * <p>Invariants: no more requests hold a slot than the target has slots; a request that is refused never holds one; each
 * ticket is settled once. Thread safe.
 */
public final class SlotQueue {
    /** Weight of the newest run in the average; the last ten or so count, as loads change within seconds. */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** The average before the first run, in nanoseconds; the service times of the users' sheets are around it. */
    private static final double INITIAL_AVERAGE_NANOSECONDS = 150e6;

    private final LongSupplier nanoseconds;
    private final List<SlotTicket> waiting = new ArrayList<>();
    private SlotState state = new SlotState(0, false, 0, 0, INITIAL_AVERAGE_NANOSECONDS);
    private long nextSequence;

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
        return state.withWaiting(waiting.size());
    }

    // -- commands

    /** Takes requests for a target with the given slots. */
    public synchronized void open(int slots) {
        state = state.opened(slots);
        grantFreeSlots();
    }

    /** Refuses new requests and those that wait; those that run keep their slots. */
    public synchronized void close() {
        state = state.closed();
        while (!waiting.isEmpty()) {
            waiting.removeLast().settle(new SlotDecision.Refused(SlotDecision.Reason.CLOSED, Duration.ZERO));
        }
    }

    /** Asks for a slot; the ticket is settled at once when a slot is free or the request is refused. */
    public synchronized SlotTicket request(SlotRequest demand) {
        long now = nanoseconds.getAsLong();
        SlotTicket ticket = new SlotTicket(demand, nextSequence++, now);
        if (!state.isOpen()) {
            ticket.settle(new SlotDecision.Refused(SlotDecision.Reason.CLOSED, Duration.ZERO));
            return ticket;
        }
        if (state.isSlotFree()) {
            grantTo(ticket);
            return ticket;
        }
        waiting.add(ticket);
        refuseUnservable(now);
        return ticket;
    }

    /** Takes back a request that waits; nothing happens to one that is settled. */
    public synchronized void withdraw(SlotTicket ticket) {
        if (waiting.remove(ticket)) {
            Duration expected = expectedWait(ticket, nanoseconds.getAsLong());
            ticket.settle(new SlotDecision.Refused(SlotDecision.Reason.WITHDRAWN, expected));
        }
    }

    /** Gives a slot back. */
    public synchronized void release(SlotTicket ticket) {
        if (!ticket.tryRelease()) {
            return;
        }
        long held = nanoseconds.getAsLong() - ticket.grantedNanoseconds();
        double average = state.averageRunNanoseconds() * (1 - SMOOTHING_FACTOR) + held * SMOOTHING_FACTOR;
        state = state.withRunning(state.running() - 1).withAverage(average);
        grantFreeSlots();
    }

    // -- state

    /** Returns how long a request is expected to wait behind those that go before it. */
    private Duration expectedWait(SlotTicket ticket, long now) {
        Comparator<SlotTicket> order = servingOrder(now);
        int place = 1;
        for (SlotTicket other : waiting) {
            place += order.compare(other, ticket) < 0 ? 1 : 0;
        }
        return expectedWait(place);
    }

    /** Returns how long the request at a place of the queue is expected to wait; the first place is 1. */
    private Duration expectedWait(int place) {
        int slots = Math.max(1, state.slots());
        return Duration.ofNanos((long) (place * state.averageRunNanoseconds() / slots));
    }

    /** Refuses what can't get a slot in its time any more, now that others may have come before it. */
    private void refuseUnservable(long now) {
        int ahead = 0;
        for (SlotTicket ticket : waiting.stream().sorted(servingOrder(now)).toList()) {
            Duration expected = expectedWait(ahead + 1);
            if (expected.compareTo(ticket.remainingWaitAt(now)) > 0) {
                waiting.remove(ticket);
                ticket.settle(new SlotDecision.Refused(SlotDecision.Reason.FULL, expected));
            } else {
                ahead++;
            }
        }
    }

    private static Comparator<SlotTicket> servingOrder(long now) {
        return Comparator.comparing((SlotTicket ticket) -> ticket.isLateAt(now))
                .thenComparingInt(SlotTicket::rank)
                .thenComparingLong(SlotTicket::softDeadlineNanoseconds)
                .thenComparingLong(SlotTicket::sequence);
    }

    private void grantFreeSlots() {
        while (state.isOpen() && state.isSlotFree() && !waiting.isEmpty()) {
            SlotTicket next = Collections.min(waiting, servingOrder(nanoseconds.getAsLong()));
            waiting.remove(next);
            grantTo(next);
        }
    }

    private void grantTo(SlotTicket ticket) {
        state = state.withRunning(state.running() + 1);
        ticket.markGranted(nanoseconds.getAsLong());
        ticket.settle(new SlotDecision.Granted());
    }
}
