package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

/**
 * Limits how many requests run on the local target: admits, queues or refuses each one.
 *
 * <p>Invariants: outstanding permits never exceed the slots; the queue never exceeds its limit, and no request is
 * admitted after its deadline; an exclusive request has the target to itself until its exclusivity ends; a refusal is
 * immediate, carries a retry-after time and means that the request did not run; after {@link #close} no permit is
 * granted until {@link #open}.
 *
 * <p>Thread safe: the state is immutable and replaced by compare-and-set; tickets are completed after the
 * replacement. The random generator must be thread safe.
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

    /** Returns a controller that is open and has nothing in flight; the clock is in nanoseconds. */
    public static AdmissionController of(AdmissionLimits limits, LongSupplier nanoseconds, RandomGenerator random) {
        Objects.requireNonNull(limits, "limits is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(random, "random is null");
        return new AdmissionController(limits, nanoseconds, random);
    }

    // -- commands

    /** Admits, queues or refuses a request; never blocks. */
    public AdmissionDecision submit(AdmissionRequest request) {
        Objects.requireNonNull(request, "request is null");
        expire();
        while (true) {
            AdmissionState current = state.get();
            long now = nanoseconds.getAsLong();
            Optional<AdmissionDecision.Refused> refusal = refusal(current, request, now);
            if (refusal.isPresent()) {
                return refusal.get();
            }
            int limit = concurrencyLimit.current(current.limits());
            if (current.queueOf(request).isEmpty() && current.isAdmissible(request, limit)) {
                if (state.compareAndSet(current, current.admit(request, now))) {
                    return new AdmissionDecision.Admitted(Permit.of(this, request, now));
                }
                continue;
            }
            Optional<AdmissionDecision.Refused> overload = overloadRefusal(current, request, now);
            if (overload.isPresent()) {
                return overload.get();
            }
            AdmissionTicket ticket = AdmissionTicket.of(this, request, queueDeadline(request, now));
            if (state.compareAndSet(current, current.enqueue(ticket))) {
                admitQueued();
                return new AdmissionDecision.Queued(ticket);
            }
        }
    }

    /**
     * Refuses queued requests whose queue deadline has passed, ends exclusivity that has lasted too long, and admits
     * what can run. To be called when the queue deadline of a ticket passes.
     */
    public void expire() {
        long now = nanoseconds.getAsLong();
        state.updateAndGet(current ->
                current.isExclusiveFor(MAXIMUM_EXCLUSIVE_RUN_NANOSECONDS, now) ? current.endExclusivity() : current);
        for (AdmissionTicket ticket : state.get().expired(now)) {
            refuseQueued(ticket, ticket.request().isExclusive() ? NotRunReason.SUSPECT_WAITING : NotRunReason.DEADLINE);
        }
        admitQueued();
    }

    /**
     * Stops admitting and refuses every queued request with the given reason, as the node drains or the target is
     * down.
     */
    public void close(NotRunReason reason) {
        Objects.requireNonNull(reason, "reason is null");
        AdmissionState closed = updateState(current -> current.withClosed(Optional.of(reason)));
        closed.allQueued().forEach(ticket -> refuseQueued(ticket, reason));
    }

    /** Starts admitting again. */
    public void open() {
        updateState(current -> current.withClosed(Optional.empty()));
        admitQueued();
    }

    /** Replaces the limits; requests in flight are not affected. */
    public void updateLimits(AdmissionLimits limits) {
        Objects.requireNonNull(limits, "limits is null");
        updateState(current -> current.withLimits(limits));
        admitQueued();
    }

    // -- queries

    /** Returns the number of outstanding permits. */
    public int inFlight() {
        return state.get().inFlight();
    }

    /** Returns the number of queued requests. */
    public int queued() {
        return state.get().queued();
    }

    /** Returns how many requests may run at once now: one to the number of slots. */
    public int concurrencyLimit() {
        return concurrencyLimit.current(state.get().limits());
    }

    /** Returns whether every new request is refused. */
    public boolean isClosed() {
        return state.get().closed().isPresent();
    }

    // -- called by permits and tickets

    void release(Permit permit, RunOutcome outcome) {
        long now = nanoseconds.getAsLong();
        long latency = Math.max(1, now - permit.admittedNanoseconds());
        AdmissionRequest request = permit.request();
        AdmissionState before = state.get();
        if (outcome.isLatencySample()) {
            serviceTimes.observe(request.isLongRunning(), latency);
        }
        if (!request.isLongRunning()) {
            concurrencyLimit.observe(before.limits(), before.inFlight(), outcome);
        }
        updateState(current -> current.release(request));
        expire();
    }

    void endExclusivity(Permit permit) {
        updateState(
                current -> current.isExclusiveSince(permit.admittedNanoseconds()) ? current.endExclusivity() : current);
        admitQueued();
    }

    void cancel(AdmissionTicket ticket) {
        refuseQueued(ticket, NotRunReason.CANCELLED);
        admitQueued();
    }

    // -- refusals

    private Optional<AdmissionDecision.Refused> refusal(AdmissionState current, AdmissionRequest request, long now) {
        if (current.closed().isPresent()) {
            return Optional.of(refused(current.closed().get(), CLOSED_RETRY_AFTER));
        }
        if (request.deadlineNanoseconds() - now <= 0) {
            return Optional.of(refused(NotRunReason.DEADLINE, nextRetryAfter(current, request)));
        }
        return Optional.empty();
    }

    private Optional<AdmissionDecision.Refused> overloadRefusal(
            AdmissionState current, AdmissionRequest request, long now) {
        if (current.isQueueFull(request)) {
            return Optional.of(refused(NotRunReason.QUEUE_FULL, nextRetryAfter(current, request)));
        }
        if (expectedWait(current, request).toNanos() > request.deadlineNanoseconds() - now) {
            return Optional.of(refused(NotRunReason.DEADLINE, nextRetryAfter(current, request)));
        }
        return Optional.empty();
    }

    /** Estimates the wait of a request from its place in the queue and the rate at which its queue drains. */
    private Duration expectedWait(AdmissionState current, AdmissionRequest request) {
        long position = current.queueOf(request).size() + 1L;
        return Duration.ofNanos(position * nanosecondsPerAdmission(current, request));
    }

    /** Returns a retry-after time at which capacity is expected, and reserves that capacity. */
    private Duration nextRetryAfter(AdmissionState current, AdmissionRequest request) {
        return retryAfterSchedule.nextDelay(
                nanoseconds.getAsLong(), expectedWait(current, request), nanosecondsPerAdmission(current, request));
    }

    private long nanosecondsPerAdmission(AdmissionState current, AdmissionRequest request) {
        int limit = concurrencyLimit.current(current.limits());
        int concurrency = request.isLongRunning()
                ? current.limits().longRunningLimit(limit)
                : Math.max(1, limit - current.longRunningInFlight());
        return serviceTimes.averageNanoseconds(request.isLongRunning()) / concurrency;
    }

    private AdmissionDecision.Refused refused(NotRunReason reason, Duration estimate) {
        return new AdmissionDecision.Refused(reason, RetryAfter.jittered(random, estimate));
    }

    private static long queueDeadline(AdmissionRequest request, long now) {
        long waitLimit = now + MAXIMUM_EXCLUSIVE_WAIT_NANOSECONDS;
        return request.isExclusive() && waitLimit - request.deadlineNanoseconds() < 0
                ? waitLimit
                : request.deadlineNanoseconds();
    }

    // -- queue

    private void admitQueued() {
        while (true) {
            AdmissionState current = state.get();
            Optional<AdmissionTicket> next = current.closed().isPresent()
                    ? Optional.empty()
                    : current.nextAdmissible(concurrencyLimit.current(current.limits()));
            if (next.isEmpty()) {
                return;
            }
            AdmissionTicket ticket = next.get();
            long now = nanoseconds.getAsLong();
            if (ticket.queueDeadlineNanoseconds() - now <= 0) {
                refuseQueued(ticket, NotRunReason.DEADLINE);
                continue;
            }
            if (state.compareAndSet(current, current.remove(ticket).admit(ticket.request(), now))) {
                Permit permit = Permit.of(this, ticket.request(), now);
                ticket.decision().complete(new AdmissionDecision.Admitted(permit));
            }
        }
    }

    private void refuseQueued(AdmissionTicket ticket, NotRunReason reason) {
        while (true) {
            AdmissionState current = state.get();
            if (!current.isQueued(ticket)) {
                return;
            }
            if (state.compareAndSet(current, current.remove(ticket))) {
                Duration estimate =
                        current.closed().isPresent() ? CLOSED_RETRY_AFTER : nextRetryAfter(current, ticket.request());
                ticket.decision().complete(refused(reason, estimate));
                return;
            }
        }
    }

    private AdmissionState updateState(UnaryOperator<AdmissionState> update) {
        return state.updateAndGet(update);
    }
}
