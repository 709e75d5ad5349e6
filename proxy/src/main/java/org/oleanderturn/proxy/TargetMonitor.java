package org.oleanderturn.proxy;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.traffic.AdmissionController;
import org.oleanderturn.traffic.CrashQuarantine;
import org.oleanderturn.traffic.NotRunReason;
import org.oleanderturn.traffic.QuarantineRecord;

/**
 * Tracks the health of the local target, and opens and closes admission accordingly.
 *
 * <p>Invariants: admission is open exactly in state {@link EndpointState#READY}; whenever the target refuses the
 * connection of a probe, the quarantine is told that the target has crashed; a drain ends only with {@link #undrain}.
 * Thread safe.
 */
public final class TargetMonitor {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final Duration CONNECTION_LOSS_PROBE_TIMEOUT = Duration.ofMillis(200);
    private static final int CONNECTION_LOSS_PROBES = 3;
    private static final Duration HEALTH_PROBE_TIMEOUT = Duration.ofSeconds(2);
    private static final int OK = 200;
    private static final int BODY_LIMIT_BYTES = 65_536;

    private final Address target;
    private final String healthPath;
    private final UpstreamClient client;
    private final AdmissionController admission;
    private final CrashQuarantine quarantine;
    private final AtomicReference<Health> health = new AtomicReference<>(new Health(false, false, false));
    private final AtomicReference<Consumer<EndpointState>> stateListener = new AtomicReference<>(_ -> {});
    private final AtomicReference<Consumer<QuarantineRecord>> quarantineListener = new AtomicReference<>(_ -> {});

    private TargetMonitor(
            Address target,
            String healthPath,
            UpstreamClient client,
            AdmissionController admission,
            CrashQuarantine quarantine) {
        this.target = target;
        this.healthPath = healthPath;
        this.client = client;
        this.admission = admission;
        this.quarantine = quarantine;
    }

    /**
     * Returns a monitor that closes admission until {@link #checkHealth} finds the target healthy and the node is
     * ready.
     */
    public static TargetMonitor of(
            Address target,
            String healthPath,
            UpstreamClient client,
            AdmissionController admission,
            CrashQuarantine quarantine) {
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(healthPath, "healthPath is null");
        Objects.requireNonNull(client, "client is null");
        Objects.requireNonNull(admission, "admission is null");
        Objects.requireNonNull(quarantine, "quarantine is null");
        admission.close(NotRunReason.TARGET_DOWN);
        return new TargetMonitor(target, healthPath, client, admission, quarantine);
    }

    // -- queries

    /** Returns the current state of the target. */
    public EndpointState state() {
        return health.get().state();
    }

    // -- commands

    /** Sets the listener for state changes; it is called on the thread that detected the change. */
    public void onStateChange(Consumer<EndpointState> listener) {
        stateListener.set(Objects.requireNonNull(listener, "listener is null"));
    }

    /** Sets the listener for requests that this monitor quarantines, so that other nodes can be informed. */
    public void onQuarantine(Consumer<QuarantineRecord> listener) {
        quarantineListener.set(Objects.requireNonNull(listener, "listener is null"));
    }

    /** Probes the health of the target and updates its state; to be called about once per second. */
    public void checkHealth() {
        ProbeResult probe = probe(HEALTH_PROBE_TIMEOUT);
        if (probe == ProbeResult.CONNECTION_REFUSED) {
            reportCrash();
        }
        apply(health.get().withHealthy(probe == ProbeResult.HEALTHY));
    }

    /** Probes the target after a connection to it failed; returns whether it has crashed. */
    public boolean checkAfterConnectionLoss() {
        ProbeResult probe = probe(CONNECTION_LOSS_PROBE_TIMEOUT);
        for (int probes = 1; probe == ProbeResult.CONNECTION_LOST && probes < CONNECTION_LOSS_PROBES; probes++) {
            probe = probe(CONNECTION_LOSS_PROBE_TIMEOUT);
        }
        if (probe != ProbeResult.CONNECTION_REFUSED) {
            return false;
        }
        reportCrash();
        apply(health.get().withHealthy(false));
        return true;
    }

    /** Stops admitting requests. */
    public void drain() {
        apply(health.get().withDraining(true));
    }

    /** Admits requests again if the target is healthy and the node is ready. */
    public void undrain() {
        apply(health.get().withDraining(false));
    }

    /** Sets whether the node itself is ready; admission needs a ready node and a healthy target. */
    public void setNodeReady(boolean isReady) {
        apply(health.get().withNodeReady(isReady));
    }

    // -- state

    private synchronized void apply(Health next) {
        Health before = health.getAndSet(next);
        EndpointState state = next.state();
        if (before.state() == state) {
            return;
        }
        switch (state) {
            case READY -> admission.open();
            case DRAINING -> admission.close(NotRunReason.DRAINING);
            case STARTING, LEFT -> admission.close(NotRunReason.TARGET_DOWN);
        }
        log.atInfo().log("target %s is %s", target, state);
        stateListener.get().accept(state);
    }

    private void reportCrash() {
        quarantine.targetCrashed().ifPresent(quarantined -> {
            log.atWarning().log("request %s crashed the target", quarantined.fingerprint());
            quarantineListener.get().accept(quarantined);
        });
    }

    private ProbeResult probe(Duration timeout) {
        OutboundRequest request = new OutboundRequest(
                "GET", healthPath, List.of(), new byte[0], SendPolicy.NEW_CONNECTION, timeout, timeout);
        Either<UpstreamFailure, UpstreamResponse> result = client.send(target, request, Cancellation.create());
        if (result.isLeft()) {
            return switch (result.getLeft()) {
                case UpstreamFailure.NotSent(UpstreamFailure.Cause cause, String _) ->
                    cause == UpstreamFailure.Cause.REFUSED ? ProbeResult.CONNECTION_REFUSED : ProbeResult.UNHEALTHY;
                case UpstreamFailure.ResponseLost _ -> ProbeResult.CONNECTION_LOST;
                case UpstreamFailure.LimitExceeded _, UpstreamFailure.TimedOut _, UpstreamFailure.Cancelled _ ->
                    ProbeResult.UNHEALTHY;
            };
        }
        try (UpstreamResponse response = result.get()) {
            boolean isComplete = response.readBody(BODY_LIMIT_BYTES).isPresent();
            return isComplete && response.status() == OK ? ProbeResult.HEALTHY : ProbeResult.UNHEALTHY;
        } catch (IOException cause) {
            return ProbeResult.UNHEALTHY;
        }
    }

    private enum ProbeResult {
        HEALTHY,
        UNHEALTHY,
        CONNECTION_LOST,
        CONNECTION_REFUSED
    }

    /** The conditions that determine the state of the target. */
    private record Health(boolean isHealthy, boolean isDraining, boolean isNodeReady) {
        EndpointState state() {
            if (isDraining) {
                return EndpointState.DRAINING;
            }
            return isHealthy && isNodeReady ? EndpointState.READY : EndpointState.STARTING;
        }

        Health withHealthy(boolean next) {
            return new Health(next, isDraining, isNodeReady);
        }

        Health withDraining(boolean next) {
            return new Health(isHealthy, next, isNodeReady);
        }

        Health withNodeReady(boolean next) {
            return new Health(isHealthy, isDraining, next);
        }
    }
}
