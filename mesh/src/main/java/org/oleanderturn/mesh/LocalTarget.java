package org.oleanderturn.mesh;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.traffic.SlotQueue;

/**
 * The lifecycle of the target on this host, as its heartbeats and deregistrations report it.
 *
 * <p>Only the processes of this host reach the target, so this node alone decides when it gets requests; the slots are
 * closed before a deregistration is answered.
 *
 * <p>Invariants: a target process that announced that it leaves never gets requests again; a report that is older than one
 * already applied, by process start and sequence number, changes nothing; neither this host's clock nor the order of
 * arrival matters. Thread safe.
 */
public final class LocalTarget {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final NodeId node;
    private final ServiceName service;
    private final SlotQueue slots;
    private final Duration heartbeatTimeout;
    private final LongSupplier clockNanoseconds;
    private final AtomicReference<TargetStatus> status = new AtomicReference<>(TargetStatus.unknown());
    private final AtomicReference<Consumer<EndpointState>> stateListener = new AtomicReference<>(_ -> {});
    private final AtomicReference<Consumer<TargetStart>> crashListener = new AtomicReference<>(_ -> {});
    private final AtomicReference<Consumer<TargetCondition>> conditionListener = new AtomicReference<>(_ -> {});
    private final LocalCondition condition;

    private LocalTarget(
            NodeId node,
            ServiceName service,
            SlotQueue slots,
            Duration heartbeatTimeout,
            LongSupplier clockNanoseconds) {
        this.node = node;
        this.service = service;
        this.slots = slots;
        this.heartbeatTimeout = heartbeatTimeout;
        this.clockNanoseconds = clockNanoseconds;
        this.condition = LocalCondition.of(node, clockNanoseconds, this::applyCondition);
    }

    /**
     * Returns a target that has not reported yet.
     *
     * @param node the node beside the target
     * @param service the service that the target has to report
     * @param slots opened while the target accepts requests
     * @param heartbeatTimeout how long after its last report the target is still considered alive
     */
    public static LocalTarget of(
            NodeId node,
            ServiceName service,
            SlotQueue slots,
            Duration heartbeatTimeout,
            LongSupplier clockNanoseconds) {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(slots, "slots is null");
        Objects.requireNonNull(heartbeatTimeout, "heartbeatTimeout is null");
        Objects.requireNonNull(clockNanoseconds, "clockNanoseconds is null");
        return new LocalTarget(node, service, slots, heartbeatTimeout, clockNanoseconds);
    }

    // -- queries

    /** Returns what is known of the target. */
    public TargetStatus status() {
        return status.get();
    }

    /** Returns the start of the target process that accepts requests now; empty when none does. */
    public Optional<TargetStart> activeStart() {
        TargetStatus current = status.get();
        return current.isOpen() ? current.report().map(TargetReport::start) : Optional.empty();
    }

    /** Returns the node beside the target. */
    NodeId node() {
        return node;
    }

    /** Returns the service that the target runs. */
    public ServiceName service() {
        return service;
    }

    /** Returns the state that is announced to other nodes. */
    public EndpointState state() {
        return status.get().state();
    }

    /** Returns what the target's process asks of the nodes; empty if none is known to have asked anything. */
    public Optional<TargetCondition> condition() {
        return condition.current();
    }

    // -- commands

    /** Sets the listener for new conditions; it is called on the thread that caused the change. */
    public void onConditionChange(Consumer<TargetCondition> listener) {
        conditionListener.set(Objects.requireNonNull(listener, "listener is null"));
    }

    /**
     * Sets the listener for new states and for new versions of the target's software; it is called on the thread that caused
     * the change.
     */
    public void onStateChange(Consumer<EndpointState> listener) {
        stateListener.set(Objects.requireNonNull(listener, "listener is null"));
    }

    /**
     * Sets the listener for processes of the target that were replaced without having announced that they leave; it is
     * called on the thread that caused the change.
     */
    public void onCrash(Consumer<TargetStart> listener) {
        crashListener.set(Objects.requireNonNull(listener, "listener is null"));
    }

    /** Applies a report; one of another service is logged and ignored. */
    public void applyReport(TargetReport report) {
        if (!report.service().equals(service)) {
            log.atWarning().log(
                    "report of target %s is for service %s, expected %s", report.start(), report.service(), service);
            return;
        }
        Optional<TargetStart> previous = status.get().report().map(TargetReport::start);
        updateStatus(current -> current.withReport(report, clockNanoseconds.getAsLong()));
        recordProcess();
        previous.filter(start -> status.get().isReplaced(start)).ifPresent(crashListener.get());
    }

    /** Closes the target, as the process that deregisters accepts no new requests. */
    public void deregister(TargetCall.Deregistration deregistration) {
        updateStatus(current -> current.withDeparture(deregistration));
        recordProcess();
    }

    private void recordProcess() {
        TargetStatus current = status.get();
        current.report().ifPresent(report -> condition.recordProcess(report.start(), current.hasLeft()));
    }

    /** Applies what a process says in a response to a request that was sent at the given time. */
    void recordSignals(TargetStart start, TargetSignals signals, long sentNanoseconds) {
        if (status.get().report().map(TargetReport::start).filter(start::equals).isPresent()) {
            condition.recordSignals(start, signals, sentNanoseconds);
        }
    }

    /** Merges what another node knows of this node's target; a condition of another node's is ignored. */
    public void mergeCondition(TargetCondition received) {
        if (received.node().equals(node)) {
            condition.merge(status.get().report().map(TargetReport::start), received);
        }
    }

    /** Applies the newest condition, as another thread may have changed it since. */
    private void applyCondition(TargetCondition changed) {
        TargetCondition newest = condition.current().orElse(changed);
        slots.limitRate(newest.limit());
        if (changed.isLeaving()) {
            updateStatus(current -> current.withDeparture(changed.start()));
        }
        conditionListener.get().accept(newest);
    }

    /**
     * Closes the target, as nothing listens at its address; the next report opens it again. Without effect if another
     * process than the given one has reported since.
     */
    void markDown(TargetStart start) {
        updateStatus(current ->
                current.report().map(TargetReport::start).filter(start::equals).isPresent()
                        ? current.withDown()
                        : current);
    }

    /** Closes the target until {@link #undrain}: the node stops, or an operator drains it. */
    public void drain() {
        updateStatus(current -> current.withDrained(true));
    }

    /** Opens the target again, if its process accepts requests. */
    public void undrain() {
        updateStatus(current -> current.withDrained(false));
    }

    /** Closes the target when its last report is too old; to be called about every second. */
    public void checkHeartbeatTimeout() {
        TargetStatus current = status.get();
        boolean isOverdue = clockNanoseconds.getAsLong() - current.reportedNanoseconds() > heartbeatTimeout.toNanos();
        if (current.isOpen() && isOverdue) {
            log.atWarning().log(
                    "target %s sent no heartbeat in time", current.report().map(TargetReport::start));
            updateStatus(latest ->
                    latest.reportedNanoseconds() == current.reportedNanoseconds() ? latest.withDown() : latest);
        }
    }

    /** Applies a change under the lock, so that two calls of the target at once can't undo each other's change. */
    private void updateStatus(UnaryOperator<TargetStatus> change) {
        EndpointState state;
        synchronized (this) {
            TargetStatus previous = status.get();
            TargetStatus next = change.apply(previous);
            status.set(next);
            if (next.isOpen()) {
                slots.open(next.report().map(TargetReport::slots).orElse(0));
            } else {
                slots.close();
            }
            state = next.state();
            if (previous.state() == state && previous.version().equals(next.version())) {
                return;
            }
            log.atInfo().log(
                    "target %s changed state to %s from %s at heartbeat %s, version %s",
                    next.report().map(TargetReport::start),
                    state,
                    previous.state(),
                    next.report().map(TargetReport::sequence),
                    next.version());
        }
        stateListener.get().accept(state);
    }
}
