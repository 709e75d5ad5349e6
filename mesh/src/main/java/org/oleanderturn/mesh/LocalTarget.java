package org.oleanderturn.mesh;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.traffic.SlotQueue;

/**
 * The life of the target on this host, as its own calls tell it.
 *
 * <p>Only the processes of this host reach the target, so this node alone decides when it takes work, and the slots are
 * closed before a call that says it leaves is answered.
 *
 * <p>Invariants: a start that said it leaves never takes work again; a report that is older than one already taken, by
 * start and sequence, changes nothing; clocks and the order of arrival don't count. Thread safe.
 */
public final class LocalTarget {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final ServiceName service;
    private final SlotQueue slots;
    private final Duration heartbeatTimeout;
    private final LongSupplier clockNanoseconds;
    private final AtomicReference<TargetStatus> status = new AtomicReference<>(TargetStatus.unknown());
    private final AtomicReference<Consumer<EndpointState>> stateListener = new AtomicReference<>(_ -> {});

    private LocalTarget(ServiceName service, SlotQueue slots, Duration longestSilence, LongSupplier nanoseconds) {
        this.service = service;
        this.slots = slots;
        this.heartbeatTimeout = longestSilence;
        this.clockNanoseconds = nanoseconds;
    }

    /**
     * Returns a target that has not been heard of.
     *
     * @param service the service that it has to answer for
     * @param slots opened while it takes work
     * @param longestSilence how long after a report the target is still taken to live
     */
    public static LocalTarget of(
            ServiceName service, SlotQueue slots, Duration longestSilence, LongSupplier nanoseconds) {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(slots, "slots is null");
        Objects.requireNonNull(longestSilence, "longestSilence is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        return new LocalTarget(service, slots, longestSilence, nanoseconds);
    }

    // -- queries

    /** Returns what is believed of the target. */
    public TargetStatus status() {
        return status.get();
    }

    /** Returns the start that takes work now. */
    public Optional<TargetStart> activeStart() {
        TargetStatus current = status.get();
        return current.isOpen() ? current.report().map(TargetReport::start) : Optional.empty();
    }

    /** Returns the service that the target answers for. */
    public ServiceName service() {
        return service;
    }

    /** Returns the state that other nodes are told. */
    public EndpointState state() {
        return status.get().state();
    }

    // -- commands

    /** Sets who hears of each new state; called on the thread that found it. */
    public void onStateChange(Consumer<EndpointState> consumer) {
        stateListener.set(Objects.requireNonNull(consumer, "consumer is null"));
    }

    /** Takes a report. */
    public void applyReport(TargetReport report) {
        if (!report.service().equals(service)) {
            log.atWarning().log("target %s reports for %s, not for %s", report.start(), report.service(), service);
            return;
        }
        updateStatus(status.get().withReport(report, clockNanoseconds.getAsLong()));
    }

    /** Takes note that the target takes no new work. */
    public void deregister(TargetCall.Deregistration leave) {
        updateStatus(status.get().left(leave));
    }

    /** Takes note that nobody listens at the target's address; the next report opens it again. */
    public void markDown() {
        updateStatus(status.get().withDown());
    }

    /** Takes no new work from now on: the node stops, or an operator says so. */
    public void drain() {
        updateStatus(status.get().withDrained(true));
    }

    /** Takes new work again. */
    public void undrain() {
        updateStatus(status.get().withDrained(false));
    }

    /** Closes the target when it was silent for too long; to be called every second or so. */
    public void checkHeartbeatTimeout() {
        TargetStatus current = status.get();
        boolean isSilent = clockNanoseconds.getAsLong() - current.reportedNanoseconds() > heartbeatTimeout.toNanos();
        if (current.isOpen() && isSilent) {
            log.atWarning().log("target %s is silent", current.report().map(TargetReport::start));
            updateStatus(current.withDown());
        }
    }

    private void updateStatus(TargetStatus next) {
        EndpointState state;
        synchronized (this) {
            TargetStatus before = status.getAndSet(next);
            if (next.isOpen()) {
                slots.open(next.report().map(TargetReport::slots).orElse(0));
            } else {
                slots.close();
            }
            state = next.state();
            if (before.state() == state) {
                return;
            }
            log.atInfo().log(
                    "target %s is %s, was %s, sequence %s",
                    next.report().map(TargetReport::start),
                    state,
                    before.state(),
                    next.report().map(TargetReport::sequence));
        }
        stateListener.get().accept(state);
    }
}
