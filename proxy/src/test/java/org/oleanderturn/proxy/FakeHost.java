package org.oleanderturn.proxy;

import java.io.IOException;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.Executor;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.traffic.AdmissionController;
import org.oleanderturn.traffic.AdmissionLimits;
import org.oleanderturn.traffic.CrashQuarantine;

/**
 * A host with a target and its guard. The connections to both go through fault relays.
 *
 * <p>Thread safe.
 */
final class FakeHost implements AutoCloseable {
    static final ServiceName SERVICE = ServiceName.of("bookings");
    private static final int SLOTS = 4;

    private final NodeId node;
    private final Locality locality;
    private final FakeTarget target = new FakeTarget();
    private final UpstreamClient client = UpstreamClient.of(SLOTS * 2);
    private final AdmissionController admission;
    private final TargetMonitor monitor;
    private final HttpListener listener;
    private final FaultRelay targetRelay;
    private final FaultRelay guardRelay;

    FakeHost(
            String name,
            ServiceName service,
            Executor executor,
            FaultRelay.FaultInjector guardFaults,
            FaultRelay.FaultInjector targetFaults)
            throws IOException {
        this.node = NodeId.of(name);
        this.locality = Locality.of("south", name);
        Random random = new Random(1);
        this.admission = AdmissionController.of(AdmissionLimits.of(SLOTS, SLOTS, 0), System::nanoTime, random);
        CrashQuarantine quarantine = CrashQuarantine.of(node, System::currentTimeMillis, random);
        this.targetRelay = new FaultRelay(target.address(), executor, targetFaults);
        this.monitor = TargetMonitor.of(targetRelay.address(), "/health", client, admission, quarantine);
        Guard guard =
                Guard.of(targetRelay.address(), service, admission, quarantine, client, monitor, System::nanoTime);
        this.listener = HttpListener.start("127.0.0.1", 0, guard, ListenerLimits.defaults())
                .get();
        this.guardRelay = new FaultRelay(listener.address(), executor, guardFaults);
        monitor.setNodeReady(true);
        monitor.checkHealth();
    }

    // -- queries

    Locality locality() {
        return locality;
    }

    Endpoint endpoint() {
        Address address = guardRelay.address();
        return new Endpoint(node, address, locality, SERVICE, SLOTS, EndpointState.READY, 1);
    }

    FakeTarget target() {
        return target;
    }

    int inFlight() {
        return admission.inFlight() + admission.queued();
    }

    // -- commands

    void drain() {
        monitor.drain();
    }

    boolean stop() {
        monitor.drain();
        return listener.drain(Duration.ofSeconds(30));
    }

    void killTarget() {
        targetRelay.close();
        target.close();
    }

    void refuseConnections() {
        guardRelay.close();
    }

    void refuseTargetConnections() {
        targetRelay.close();
    }

    @Override
    public void close() {
        guardRelay.close();
        targetRelay.close();
        listener.close();
        target.close();
        client.close();
    }
}
