package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

/**
 * Decides which requests the local target runs, which wait for a slot and which are refused at once.
 *
 * <p>Invariants: permits out never exceed the slots; the queue never exceeds its limit and gives no permit to work past
 * its deadline; work that runs alone has no other permit beside it until it is shared; a refusal is given at once, with a
 * time to come back, and truly nothing ran; after {@link #close} no permit is given.
 *
 * <p>Thread safe: the state is immutable and swapped by compare-and-set; tickets are settled after the swap. The random
 * generator must be thread safe.
 */
public final class AdmissionController {
    private static final long MAXIMUM_EXCLUSIVE_WAIT_NANOSECONDS = 2_000_000_000;
    private static final long MAXIMUM_EXCLUSIVE_RUN_NANOSECONDS = 2_000_000_000;
    private static final Duration CLOSED_RETRY_AFTER = Duration.ofMillis(500);

    private final LongSupplier nanoseconds;
    private final RandomGenerator random;
    private final AtomicReference<AdmissionState> state;
    private final ConcurrencyLimit concurrencyLimit;
    private final ServiceTimes serviceTimes = ServiceTimes.empty();
    private final RetryAfterSchedule retryAfterSchedule;

    private AdmissionController(AdmissionLimits limits, LongSupplier nanoseconds, RandomGenerator random) {
        this.nanoseconds = nanoseconds;
        this.random = random;
        this.state = new AtomicReference<>(AdmissionState.of(limits));
        this.concurrencyLimit = ConcurrencyLimit.of(limits.slots());
        this.retryAfterSchedule = RetryAfterSchedule.of(nanoseconds.getAsLong());
    }

    /** Returns an open admission with nothing in flight. */
    public static AdmissionController of(AdmissionLimits limits, LongSupplier nanoseconds, RandomGenerator random) {
        Objects.requireNonNull(limits, "limits is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(random, "random is null");
        return new AdmissionController(limits, nanoseconds, random);
    }

    // -- core operations

    /** Asks for a slot. */
    public AdmissionDecision submit(AdmissionRequest work) {
        Objects.requireNonNull(work, "work is null");
        expire();
        while (true) {
            AdmissionState held = state.get();
            long now = nanoseconds.getAsLong();
            Optional<AdmissionDecision.Refused> refusal = refusal(held, work, now);
            if (refusal.isPresent()) {
                return refusal.get();
            }
            int limit = concurrencyLimit.current(held.limits());
            if (held.queueOf(work).isEmpty() && held.isAdmissible(work, limit)) {
                if (state.compareAndSet(held, held.admit(work, now))) {
                    return new AdmissionDecision.Admitted(Permit.of(this, work, now));
                }
                continue;
            }
            Optional<AdmissionDecision.Refused> overload = overloadRefusal(held, work, now);
            if (overload.isPresent()) {
                return overload.get();
            }
            AdmissionTicket ticket = AdmissionTicket.of(this, work, queueDeadline(work, now));
            if (state.compareAndSet(held, held.enqueue(ticket))) {
                admitQueued();
                return new AdmissionDecision.Queued(ticket);
            }
        }
    }

    /**
     * Refuses the waiting work whose time is over, lets others run beside work that has run alone for long enough, and
     * admits what can run; to be called as tickets' patience ends.
     */
    public void expire() {
        long now = nanoseconds.getAsLong();
        state.updateAndGet(
                held -> held.isExclusiveFor(MAXIMUM_EXCLUSIVE_RUN_NANOSECONDS, now) ? held.endExclusivity() : held);
        for (AdmissionTicket ticket : state.get().expired(now)) {
            refuseQueued(ticket, ticket.request().isExclusive() ? NotRunReason.SUSPECT_WAITING : NotRunReason.DEADLINE);
        }
        admitQueued();
    }

    /** Gives no permit from now on, and refuses what waits: a drain, or a target that is down. */
    public void close(NotRunReason reason) {
        Objects.requireNonNull(reason, "reason is null");
        AdmissionState closed = updateState(held -> held.withClosed(Optional.of(reason)));
        closed.allQueued().forEach(ticket -> refuseQueued(ticket, reason));
    }

    /** Gives permits again. */
    public void open() {
        updateState(held -> held.withClosed(Optional.empty()));
        admitQueued();
    }

    /** Replaces the limits; what is in flight runs on. */
    public void updateLimits(AdmissionLimits limits) {
        Objects.requireNonNull(limits, "limits is null");
        updateState(held -> held.withLimits(limits));
        admitQueued();
    }

    // -- queries

    /** Returns the permits that are out. */
    public int inFlight() {
        return state.get().inFlight();
    }

    /** Returns how many requests wait. */
    public int queued() {
        return state.get().queued();
    }

    /** Returns how many requests may run at once now. */
    public int concurrencyLimit() {
        return concurrencyLimit.current(state.get().limits());
    }

    /** Returns whether new work is refused. */
    public boolean isClosed() {
        return state.get().closed().isPresent();
    }

    // -- called by permits and tickets

    void release(Permit permit, RunOutcome completion) {
        long now = nanoseconds.getAsLong();
        long latency = Math.max(1, now - permit.admittedNanoseconds());
        AdmissionRequest work = permit.request();
        AdmissionState before = state.get();
        if (completion.isLatencySample()) {
            serviceTimes.observe(work.isLongRunning(), latency);
        }
        if (!work.isLongRunning()) {
            concurrencyLimit.observe(before.limits(), before.inFlight(), completion);
        }
        updateState(held -> held.release(work));
        expire();
    }

    void endExclusivity(Permit permit) {
        updateState(held -> held.isExclusiveSince(permit.admittedNanoseconds()) ? held.endExclusivity() : held);
        admitQueued();
    }

    void cancel(AdmissionTicket ticket) {
        refuseQueued(ticket, NotRunReason.CANCELLED);
        admitQueued();
    }

    // -- decisions

    private Optional<AdmissionDecision.Refused> refusal(AdmissionState held, AdmissionRequest work, long now) {
        if (held.closed().isPresent()) {
            return Optional.of(refused(held.closed().get(), CLOSED_RETRY_AFTER));
        }
        if (work.deadlineNanoseconds() - now <= 0) {
            return Optional.of(refused(NotRunReason.DEADLINE, nextRetryAfter(held, work)));
        }
        return Optional.empty();
    }

    private Optional<AdmissionDecision.Refused> overloadRefusal(AdmissionState held, AdmissionRequest work, long now) {
        if (held.isQueueFull(work)) {
            return Optional.of(refused(NotRunReason.QUEUE_FULL, nextRetryAfter(held, work)));
        }
        if (expectedWait(held, work).toNanos() > work.deadlineNanoseconds() - now) {
            return Optional.of(refused(NotRunReason.DEADLINE, nextRetryAfter(held, work)));
        }
        return Optional.empty();
    }

    /** Returns the estimate of how long the work would wait: what stands before it at the rate its class drains. */
    private Duration expectedWait(AdmissionState held, AdmissionRequest work) {
        long before = held.queueOf(work).size() + 1L;
        return Duration.ofNanos(before * nanosecondsPerAdmission(held, work));
    }

    /** Returns the time at which a refused caller finds room, and keeps that place for it. */
    private Duration nextRetryAfter(AdmissionState held, AdmissionRequest work) {
        return retryAfterSchedule.nextDelay(
                nanoseconds.getAsLong(), expectedWait(held, work), nanosecondsPerAdmission(held, work));
    }

    private long nanosecondsPerAdmission(AdmissionState held, AdmissionRequest work) {
        int limit = concurrencyLimit.current(held.limits());
        int lanes = work.isLongRunning()
                ? held.limits().longRunningLimit(limit)
                : Math.max(1, limit - held.longRunningInFlight());
        return serviceTimes.averageNanoseconds(work.isLongRunning()) / lanes;
    }

    private AdmissionDecision.Refused refused(NotRunReason reason, Duration estimate) {
        return new AdmissionDecision.Refused(reason, RetryAfter.jittered(random, estimate));
    }

    private static long queueDeadline(AdmissionRequest work, long now) {
        long alone = now + MAXIMUM_EXCLUSIVE_WAIT_NANOSECONDS;
        return work.isExclusive() && alone - work.deadlineNanoseconds() < 0 ? alone : work.deadlineNanoseconds();
    }

    // -- transitions

    private void admitQueued() {
        while (true) {
            AdmissionState held = state.get();
            Optional<AdmissionTicket> next = held.closed().isPresent()
                    ? Optional.empty()
                    : held.nextAdmissible(concurrencyLimit.current(held.limits()));
            if (next.isEmpty()) {
                return;
            }
            AdmissionTicket ticket = next.get();
            long now = nanoseconds.getAsLong();
            if (ticket.queueDeadlineNanoseconds() - now <= 0) {
                refuseQueued(ticket, NotRunReason.DEADLINE);
                continue;
            }
            if (state.compareAndSet(held, held.remove(ticket).admit(ticket.request(), now))) {
                Permit permit = Permit.of(this, ticket.request(), now);
                ticket.decision().complete(new AdmissionDecision.Admitted(permit));
            }
        }
    }

    private void refuseQueued(AdmissionTicket ticket, NotRunReason reason) {
        while (true) {
            AdmissionState held = state.get();
            if (!held.isQueued(ticket)) {
                return;
            }
            if (state.compareAndSet(held, held.remove(ticket))) {
                Duration estimate =
                        held.closed().isPresent() ? CLOSED_RETRY_AFTER : nextRetryAfter(held, ticket.request());
                ticket.decision().complete(refused(reason, estimate));
                return;
            }
        }
    }

    private AdmissionState updateState(UnaryOperator<AdmissionState> change) {
        return state.updateAndGet(change);
    }
}
