package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Priority queue for the slots of a target.
 *
 * <p>First come, first served would make every response late as soon as the load is a little above the target's
 * capacity. This queue serves requests that can still meet their soft deadline first, by rank and then by the
 * earliest soft deadline, and late ones afterwards in the same order. A request that is not expected to get a slot
 * within its maximum wait is refused on arrival, or as soon as others overtake it, so that its caller can try another
 * target. A target may limit the rate of its requests as well; they then pass at that rate, in the same order. A target that
 * sheds everything gets nothing for a moment.
 *
 * <p>Among organisations, the room of a rank is shared by {@link OrganisationShares}; {@link ServingOrder} states the order.
 *
 * <p>While more requests arrive than the slots can run, those that can't meet their soft deadline with some certainty
 * give way to the others, and only as many of them wait as keep the slots busy.
 *
 * <p>Invariants: no more requests hold a slot than the target has, and no more are granted one than its rate allows; a
 * refused request never holds one; none is granted to a request whose key is known to be removed; each ticket is settled
 * exactly once. Thread safe.
 */
public final class SlotQueue {
    /**
     * Weight of the newest run in the moving average; about the last ten count, since loads change within seconds.
     */
    private static final double SMOOTHING_FACTOR = 0.1;

    /** Average before the first run, in nanoseconds; near the service times that the users state. */
    private static final double INITIAL_AVERAGE_NANOSECONDS = 150e6;

    /** Late requests may wait this long, or for an average run if that is longer, while more arrive than the slots can run. */
    private static final double LATE_WAIT_NANOSECONDS = 220e6;

    /** Weight of the newest interval between arrivals in the moving average. */
    private static final double INTERVAL_SMOOTHING_FACTOR = 0.05;

    /** Average interval between arrivals before the first one, in nanoseconds. */
    private static final double INITIAL_INTERVAL_NANOSECONDS = 1e9;

    private final LongSupplier nanoseconds;
    private final List<SlotTicket> waiting = new ArrayList<>();
    private SlotState state = new SlotState(0, false, 0, 0, INITIAL_AVERAGE_NANOSECONDS);
    private final ShedLimit shedLimit = ShedLimit.none();
    private final OrganisationShares shares = new OrganisationShares();
    private final TreeMap<Integer, Integer> runningByRank = new TreeMap<>();
    private Optional<RequestPacer> pacer = Optional.empty();
    private long nextSequence;
    private double averageIntervalNanoseconds = INITIAL_INTERVAL_NANOSECONDS;
    private long lastArrivalNanoseconds;

    private SlotQueue(LongSupplier nanoseconds) {
        this.nanoseconds = nanoseconds;
        this.lastArrivalNanoseconds = nanoseconds.getAsLong();
    }

    /** Returns a closed queue without slots; the clock is in nanoseconds. */
    public static SlotQueue of(LongSupplier nanoseconds) {
        return new SlotQueue(Objects.requireNonNull(nanoseconds, "nanoseconds is null"));
    }

    // -- queries

    /** Returns a snapshot of the queue; its slots are those that the target is trusted with now. */
    public synchronized SlotState state() {
        return state.withWaiting(waiting.size()).withSlots(usableSlots(nanoseconds.getAsLong()));
    }

    /** Returns the rank of the most urgent request that holds a slot; empty if none does. */
    public synchronized OptionalInt mostUrgentRunningRank() {
        return runningByRank.isEmpty() ? OptionalInt.empty() : OptionalInt.of(runningByRank.firstKey());
    }

    /** Returns how long a further request would wait for the rate limit; zero without one. */
    public synchronized Duration pacingWait() {
        return pacingWait(waiting.size() + 1, nanoseconds.getAsLong());
    }

    /** Returns when a waiting request may pass the rate limit; empty without a limit, and once the request is settled. */
    public synchronized Optional<Duration> untilTurn(SlotTicket ticket) {
        long now = nanoseconds.getAsLong();
        return pacer.isPresent() && waiting.contains(ticket)
                ? Optional.of(pacingWait(position(ticket, now), now))
                : Optional.empty();
    }

    // -- commands

    /** Limits the rate of granted requests, in requests per second, or ends the limit. */
    public synchronized void limitRate(OptionalDouble requestsPerSecond) {
        long now = nanoseconds.getAsLong();
        if (requestsPerSecond.isEmpty()) {
            pacer = Optional.empty();
        } else if (pacer.isPresent()) {
            pacer.get().changeRate(requestsPerSecond.getAsDouble(), now);
        } else {
            pacer = Optional.of(RequestPacer.of(requestsPerSecond.getAsDouble(), now));
        }
        grantFreeSlots();
        refuseUnservable(now);
    }

    /** Grants slots to waiting requests that the rate limit lets pass by now. */
    public synchronized void grantDue() {
        grantFreeSlots();
    }

    /** Accepts requests for a target with the given number of slots. */
    public synchronized void open(int slots) {
        state = state.opened(slots);
        grantFreeSlots();
    }

    /** Refuses new and waiting requests; running ones keep their slots. */
    public synchronized void close() {
        state = state.closed();
        while (!waiting.isEmpty()) {
            waiting.removeLast().settle(new SlotDecision.Refused(SlotDecision.Reason.CLOSED, Duration.ZERO));
        }
    }

    /** Requests a slot; the returned ticket is already settled if a slot was free or the request was refused. */
    public SlotTicket request(SlotRequest request) {
        return request(request, () -> false);
    }

    /**
     * Requests a slot as {@link #request(SlotRequest)} does.
     *
     * @param isKeyRemoved returns whether the key of the request has been removed, after which it gets no slot; must not block
     */
    public synchronized SlotTicket request(SlotRequest request, BooleanSupplier isKeyRemoved) {
        long now = nanoseconds.getAsLong();
        recordArrival(now);
        SlotTicket ticket = new SlotTicket(request, isKeyRemoved, nextSequence++, now);
        if (!state.isOpen()) {
            ticket.settle(new SlotDecision.Refused(SlotDecision.Reason.CLOSED, Duration.ZERO));
            return ticket;
        }
        if (usableSlots(now) == 0) {
            ticket.settle(new SlotDecision.Refused(SlotDecision.Reason.SHEDDING, shedLimit.untilProbe(now)));
            return ticket;
        }
        request.organisation().ifPresent(sender -> shares.recordRequest(request.rank(), sender, now));
        waiting.add(ticket);
        grantFreeSlots();
        refuseUnservable(now);
        return ticket;
    }

    /** Removes a waiting request from the queue; no effect once its ticket is settled. */
    public synchronized void withdraw(SlotTicket ticket) {
        if (waiting.remove(ticket)) {
            Duration wait = expectedWait(ticket, nanoseconds.getAsLong());
            ticket.settle(new SlotDecision.Refused(SlotDecision.Reason.WITHDRAWN, wait));
        }
    }

    /** Refuses the waiting requests whose keys have been removed, and grants slots to others that can be served now. */
    public synchronized void refuseRemovedKeys() {
        grantFreeSlots();
    }

    /** Records that the target shed a request. */
    public synchronized void recordShed() {
        long now = nanoseconds.getAsLong();
        shedLimit.recordShed(now);
        Duration untilProbe = shedLimit.untilProbe(now);
        while (untilProbe.isPositive() && !waiting.isEmpty()) {
            waiting.removeLast().settle(new SlotDecision.Refused(SlotDecision.Reason.SHEDDING, untilProbe));
        }
    }

    /** Records that the target ran a request. */
    public synchronized void recordRun() {
        shedLimit.recordRun();
    }

    /** Frees the slot of a ticket; no effect if it holds none. */
    public synchronized void release(SlotTicket ticket) {
        if (!ticket.tryRelease()) {
            return;
        }
        long now = nanoseconds.getAsLong();
        long runNanoseconds = now - ticket.grantedNanoseconds();
        double average = state.averageRunNanoseconds() * (1 - SMOOTHING_FACTOR) + runNanoseconds * SMOOTHING_FACTOR;
        state = state.withRunning(state.running() - 1).withAverage(average);
        runningByRank.computeIfPresent(ticket.rank(), (_, count) -> count > 1 ? count - 1 : null);
        ticket.organisation()
                .ifPresent(sender -> shares.recordDifference(
                        ticket.rank(), sender, runNanoseconds - ticket.expectedRunNanoseconds()));
        refuseExpired(now);
        grantFreeSlots();
    }

    // -- queue

    private void recordArrival(long now) {
        long interval = now - lastArrivalNanoseconds;
        averageIntervalNanoseconds = averageIntervalNanoseconds * (1 - INTERVAL_SMOOTHING_FACTOR)
                + Math.min((double) interval, INITIAL_INTERVAL_NANOSECONDS) * INTERVAL_SMOOTHING_FACTOR;
        lastArrivalNanoseconds = now;
    }

    /** Returns whether more requests arrive than the slots can run. */
    private boolean isOverloaded() {
        int slots = usableSlots(nanoseconds.getAsLong());
        return state.averageRunNanoseconds() > averageIntervalNanoseconds * Math.max(1, slots);
    }

    private int usableSlots(long now) {
        return shedLimit.allowed(state.slots(), now);
    }

    private boolean isLate(SlotTicket ticket, long now) {
        return isOverloaded() ? ticket.isUncertainAt(now) : ticket.isLateAt(now);
    }

    /** Returns whether a late request would wait for long, and others keep coming before it. */
    private boolean isHopeless(SlotTicket ticket, Duration slotWait, long now) {
        boolean isLong = slotWait.toNanos() > Math.max(state.averageRunNanoseconds(), LATE_WAIT_NANOSECONDS);
        return isLong && isOverloaded() && isLate(ticket, now);
    }

    /** Estimates the wait of a request behind those that are served before it. */
    private Duration expectedWait(SlotTicket ticket, long now) {
        int position = position(ticket, now);
        return longer(slotWait(position), pacingWait(position, now));
    }

    /** Returns the position of a request in the queue, where 1 is next. */
    private int position(SlotTicket ticket, long now) {
        ServingOrder order = servingOrder(now);
        int position = 1;
        for (SlotTicket other : waiting) {
            position += order.compare(other, ticket) < 0 ? 1 : 0;
        }
        return position;
    }

    /** Estimates the wait for a slot at a position of the queue. */
    private Duration slotWait(int position) {
        int usable = usableSlots(nanoseconds.getAsLong());
        int slots = Math.max(1, usable);
        int free = Math.max(0, usable - state.running());
        return Duration.ofNanos((long) (Math.max(0, position - free) * state.averageRunNanoseconds() / slots));
    }

    /** Returns the wait for the rate limit at a position of the queue. */
    private Duration pacingWait(int position, long now) {
        return pacer.map(present -> present.untilPass(position, now)).orElse(Duration.ZERO);
    }

    private static Duration longer(Duration first, Duration second) {
        return first.compareTo(second) > 0 ? first : second;
    }

    /**
     * Refuses waiting requests that are no longer expected to get a slot in time; a new request may be served before
     * them.
     */
    private void refuseUnservable(long now) {
        int ahead = 0;
        for (SlotTicket ticket : waiting.stream().sorted(servingOrder(now)).toList()) {
            Duration slotWait = slotWait(ahead + 1);
            Duration pacingWait = pacingWait(ahead + 1, now);
            Duration wait = longer(slotWait, pacingWait);
            if (wait.compareTo(ticket.remainingWaitAt(now)) > 0 || isHopeless(ticket, slotWait, now)) {
                boolean isRateLimited = pacingWait.compareTo(slotWait) > 0;
                waiting.remove(ticket);
                refuse(ticket, isRateLimited ? SlotDecision.Reason.RATE_LIMITED : lackOfRoom(ticket, now), wait);
            } else {
                ahead++;
            }
        }
    }

    private static SlotDecision.Reason lackOfRoom(SlotTicket ticket, long now) {
        return ticket.requestedNanoseconds() == now ? SlotDecision.Reason.FULL : SlotDecision.Reason.OVERTAKEN;
    }

    /** Refuses the requests of organisations whose maximum wait has passed, so that none of them is granted a slot. */
    private void refuseExpired(long now) {
        List<SlotTicket> expired = waiting.stream()
                .filter(ticket -> ticket.organisation().isPresent())
                .filter(ticket -> ticket.remainingWaitAt(now).isNegative())
                .toList();
        waiting.removeAll(expired);
        for (SlotTicket ticket : expired) {
            refuse(ticket, SlotDecision.Reason.OVERTAKEN, expectedWait(ticket, now));
        }
    }

    private void refuse(SlotTicket ticket, SlotDecision.Reason reason, Duration wait) {
        ticket.markOverShare(shares.isOverShare(ticket.rank(), ticket.organisation()));
        ticket.settle(new SlotDecision.Refused(reason, wait));
    }

    private ServingOrder servingOrder(long now) {
        return ServingOrder.of(waiting, shares, ticket -> isLate(ticket, now));
    }

    private void grantFreeSlots() {
        waiting.removeIf(this::tryRefuseForItsKey);
        long now = nanoseconds.getAsLong();
        while (state.isOpen() && state.running() < usableSlots(now) && !waiting.isEmpty() && tryPass(now)) {
            SlotTicket ticket = Collections.min(waiting, servingOrder(now));
            waiting.remove(ticket);
            grantTo(ticket);
        }
    }

    /** A grant that is given back would count as a very short run, and use up the rate of the target. */
    private boolean tryRefuseForItsKey(SlotTicket ticket) {
        boolean isRemoved = ticket.isKeyRemoved();
        if (isRemoved) {
            ticket.settle(new SlotDecision.Refused(SlotDecision.Reason.KEY_REMOVED, Duration.ZERO));
        }
        return isRemoved;
    }

    private boolean tryPass(long now) {
        return pacer.isEmpty() || pacer.get().tryPass(now);
    }

    private void grantTo(SlotTicket ticket) {
        long now = nanoseconds.getAsLong();
        state = state.withRunning(state.running() + 1);
        runningByRank.merge(ticket.rank(), 1, Integer::sum);
        ticket.markOverShare(shares.isOverShare(ticket.rank(), ticket.organisation()));
        ticket.organisation()
                .ifPresent(sender -> shares.recordGrant(ticket.rank(), sender, ticket.expectedRunNanoseconds(), now));
        ticket.markGranted(now);
        ticket.settle(new SlotDecision.Granted());
    }
}
