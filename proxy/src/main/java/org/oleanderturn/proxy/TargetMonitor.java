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
 * Knows whether the local target takes work, and opens and closes its admission.
 *
 * <p>Invariants: admission is open exactly in state {@link EndpointState#READY}; a target's death is told to the
 * quarantine once; a drain ends only by {@link #undrain}. Thread safe.
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
    private final AtomicReference<Consumer<QuarantineRecord>> convictionListener = new AtomicReference<>(_ -> {});

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

    /** Returns a monitor that has not seen the target; admission is closed until {@link #checkHealth} finds it healthy. */
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

    /** Returns whether the target takes new work. */
    public EndpointState state() {
        return health.get().state();
    }

    // -- commands

    /** Sets who hears of each new state; called on the thread that found it. */
    public void onStateChange(Consumer<EndpointState> consumer) {
        stateListener.set(Objects.requireNonNull(consumer, "consumer is null"));
    }

    /** Sets who hears of each conviction found here, to spread it. */
    public void onConviction(Consumer<QuarantineRecord> consumer) {
        convictionListener.set(Objects.requireNonNull(consumer, "consumer is null"));
    }

    /** Asks the target for its health; to be called every second or so. */
    public void checkHealth() {
        ProbeResult probe = probe(HEALTH_PROBE_TIMEOUT);
        if (probe == ProbeResult.CONNECTION_REFUSED) {
            reportDeath();
        }
        apply(health.get().withHealthy(probe == ProbeResult.HEALTHY));
    }

    /** Looks after the target whose connection broke; returns whether it died. */
    public boolean checkAfterConnectionLoss() {
        ProbeResult probe = probe(CONNECTION_LOSS_PROBE_TIMEOUT);
        for (int round = 1; probe == ProbeResult.CONNECTION_LOST && round < CONNECTION_LOSS_PROBES; round++) {
            probe = probe(CONNECTION_LOSS_PROBE_TIMEOUT);
        }
        if (probe != ProbeResult.CONNECTION_REFUSED) {
            return false;
        }
        reportDeath();
        apply(health.get().withHealthy(false));
        return true;
    }

    /** Takes no new work from now on. */
    public void drain() {
        apply(health.get().withDraining(true));
    }

    /** Takes new work again when the target is healthy. */
    public void undrain() {
        apply(health.get().withDraining(false));
    }

    /** Lets the node take work, or not, for reasons of its own. */
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

    private void reportDeath() {
        quarantine.targetCrashed().ifPresent(conviction -> {
            log.atWarning().log("request %s crashed the target", conviction.fingerprint());
            convictionListener.get().accept(conviction);
        });
    }

    private ProbeResult probe(Duration timeout) {
        OutboundRequest request = new OutboundRequest(
                "GET", healthPath, List.of(), new byte[0], SendPolicy.NEW_CONNECTION, timeout, timeout);
        Either<UpstreamFailure, UpstreamResponse> answer = client.send(target, request, Cancellation.create());
        if (answer.isLeft()) {
            return switch (answer.getLeft()) {
                case UpstreamFailure.NotSent(UpstreamFailure.Cause cause, String _) ->
                    cause == UpstreamFailure.Cause.CONNECTION_REFUSED
                            ? ProbeResult.CONNECTION_REFUSED
                            : ProbeResult.UNHEALTHY;
                case UpstreamFailure.ResponseLost _ -> ProbeResult.CONNECTION_LOST;
                case UpstreamFailure.TimedOut _, UpstreamFailure.Cancelled _ -> ProbeResult.UNHEALTHY;
            };
        }
        try (UpstreamResponse open = answer.get()) {
            boolean isWhole = open.readBody(BODY_LIMIT_BYTES).isPresent();
            return isWhole && open.status() == OK ? ProbeResult.HEALTHY : ProbeResult.UNHEALTHY;
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

    /** What the target's state follows from. */
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
