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
public final class Admission {
    private static final long ALONE_PATIENCE_NANOSECONDS = 2_000_000_000;
    private static final long ALONE_SPAN_NANOSECONDS = 2_000_000_000;
    private static final Duration CLOSED_RETRY_AFTER = Duration.ofMillis(500);

    private final LongSupplier nanoseconds;
    private final RandomGenerator random;
    private final AtomicReference<AdmissionState> state;
    private final ConcurrencyLimit concurrency;
    private final ServiceTimes times = ServiceTimes.empty();
    private final ReturnSchedule returns;

    private Admission(AdmissionLimits limits, LongSupplier nanoseconds, RandomGenerator random) {
        this.nanoseconds = nanoseconds;
        this.random = random;
        this.state = new AtomicReference<>(AdmissionState.of(limits));
        this.concurrency = ConcurrencyLimit.of(limits.slots());
        this.returns = ReturnSchedule.of(nanoseconds.getAsLong());
    }

    /** Returns an open admission with nothing in flight. */
    public static Admission of(AdmissionLimits limits, LongSupplier nanoseconds, RandomGenerator random) {
        Objects.requireNonNull(limits, "limits is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(random, "random is null");
        return new Admission(limits, nanoseconds, random);
    }

    // -- core operations

    /** Asks for a slot. */
    public AdmissionDecision offer(Work work) {
        Objects.requireNonNull(work, "work is null");
        expire();
        while (true) {
            AdmissionState held = state.get();
            long now = nanoseconds.getAsLong();
            Optional<AdmissionDecision.Refused> refusal = refusal(held, work, now);
            if (refusal.isPresent()) {
                return refusal.get();
            }
            int limit = concurrency.current(held.limits());
            if (held.queueOf(work).isEmpty() && held.isAdmissible(work, limit)) {
                if (state.compareAndSet(held, held.admit(work, now))) {
                    return new AdmissionDecision.Admitted(Permit.of(this, work, now));
                }
                continue;
            }
            Optional<AdmissionDecision.Refused> overload = overload(held, work, now);
            if (overload.isPresent()) {
                return overload.get();
            }
            Ticket ticket = Ticket.of(this, work, patience(work, now));
            if (state.compareAndSet(held, held.enqueue(ticket))) {
                promote();
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
        state.updateAndGet(held -> held.isAloneFor(ALONE_SPAN_NANOSECONDS, now) ? held.share() : held);
        for (Ticket ticket : state.get().expired(now)) {
            settleOut(ticket, ticket.work().isAlone() ? NotRunReason.SUSPECT_WAITING : NotRunReason.DEADLINE);
        }
        promote();
    }

    /** Gives no permit from now on, and refuses what waits: a drain, or a target that is down. */
    public void close(NotRunReason reason) {
        Objects.requireNonNull(reason, "reason is null");
        AdmissionState closed = swap(held -> held.withClosed(Optional.of(reason)));
        closed.waiting().forEach(ticket -> settleOut(ticket, reason));
    }

    /** Gives permits again. */
    public void open() {
        swap(held -> held.withClosed(Optional.empty()));
        promote();
    }

    /** Replaces the limits; what is in flight runs on. */
    public void limit(AdmissionLimits limits) {
        Objects.requireNonNull(limits, "limits is null");
        swap(held -> held.withLimits(limits));
        promote();
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
    public int concurrency() {
        return concurrency.current(state.get().limits());
    }

    /** Returns whether new work is refused. */
    public boolean isClosed() {
        return state.get().closed().isPresent();
    }

    // -- called by permits and tickets

    void release(Permit permit, Completion completion) {
        long now = nanoseconds.getAsLong();
        long latency = Math.max(1, now - permit.admittedNanoseconds());
        Work work = permit.work();
        AdmissionState before = state.get();
        if (completion.isTimed()) {
            times.observe(work.isLong(), latency);
        }
        if (!work.isLong()) {
            concurrency.observe(before.limits(), before.inFlight(), completion);
        }
        swap(held -> held.release(work));
        expire();
    }

    void share(Permit permit) {
        swap(held -> held.isAloneSince(permit.admittedNanoseconds()) ? held.share() : held);
        promote();
    }

    void cancel(Ticket ticket) {
        settleOut(ticket, NotRunReason.CANCELLED);
        promote();
    }

    // -- decisions

    private Optional<AdmissionDecision.Refused> refusal(AdmissionState held, Work work, long now) {
        if (held.closed().isPresent()) {
            return Optional.of(refused(held.closed().get(), CLOSED_RETRY_AFTER));
        }
        if (work.deadlineNanoseconds() - now <= 0) {
            return Optional.of(refused(NotRunReason.DEADLINE, returnTime(held, work)));
        }
        return Optional.empty();
    }

    private Optional<AdmissionDecision.Refused> overload(AdmissionState held, Work work, long now) {
        if (held.isQueueFull(work)) {
            return Optional.of(refused(NotRunReason.QUEUE_FULL, returnTime(held, work)));
        }
        if (drainTime(held, work).toNanos() > work.deadlineNanoseconds() - now) {
            return Optional.of(refused(NotRunReason.DEADLINE, returnTime(held, work)));
        }
        return Optional.empty();
    }

    /** Returns the estimate of how long the work would wait: what stands before it at the rate its class drains. */
    private Duration drainTime(AdmissionState held, Work work) {
        long before = held.queueOf(work).size() + 1L;
        return Duration.ofNanos(before * nanosecondsForOne(held, work));
    }

    /** Returns the time at which a refused caller finds room, and keeps that place for it. */
    private Duration returnTime(AdmissionState held, Work work) {
        return returns.next(nanoseconds.getAsLong(), drainTime(held, work), nanosecondsForOne(held, work));
    }

    private long nanosecondsForOne(AdmissionState held, Work work) {
        int limit = concurrency.current(held.limits());
        int lanes = work.isLong() ? held.limits().longLimit(limit) : Math.max(1, limit - held.longInFlight());
        return times.average(work.isLong()) / lanes;
    }

    private AdmissionDecision.Refused refused(NotRunReason reason, Duration estimate) {
        return new AdmissionDecision.Refused(reason, RetryAfter.jittered(random, estimate));
    }

    private static long patience(Work work, long now) {
        long alone = now + ALONE_PATIENCE_NANOSECONDS;
        return work.isAlone() && alone - work.deadlineNanoseconds() < 0 ? alone : work.deadlineNanoseconds();
    }

    // -- transitions

    private void promote() {
        while (true) {
            AdmissionState held = state.get();
            Optional<Ticket> next =
                    held.closed().isPresent() ? Optional.empty() : held.next(concurrency.current(held.limits()));
            if (next.isEmpty()) {
                return;
            }
            Ticket ticket = next.get();
            long now = nanoseconds.getAsLong();
            if (ticket.patienceNanoseconds() - now <= 0) {
                settleOut(ticket, NotRunReason.DEADLINE);
                continue;
            }
            if (state.compareAndSet(held, held.remove(ticket).admit(ticket.work(), now))) {
                Permit permit = Permit.of(this, ticket.work(), now);
                ticket.decision().complete(new AdmissionDecision.Admitted(permit));
            }
        }
    }

    private void settleOut(Ticket ticket, NotRunReason reason) {
        while (true) {
            AdmissionState held = state.get();
            if (!held.isWaiting(ticket)) {
                return;
            }
            if (state.compareAndSet(held, held.remove(ticket))) {
                Duration estimate = held.closed().isPresent() ? CLOSED_RETRY_AFTER : returnTime(held, ticket.work());
                ticket.decision().complete(refused(reason, estimate));
                return;
            }
        }
    }

    private AdmissionState swap(UnaryOperator<AdmissionState> change) {
        return state.updateAndGet(change);
    }
}
