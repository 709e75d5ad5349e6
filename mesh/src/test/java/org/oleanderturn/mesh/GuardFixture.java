package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.proxy.BodyReservation;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.traffic.CrashLedger;
import org.oleanderturn.traffic.InducedRetries;
import org.oleanderturn.traffic.LinkSchedule;
import org.oleanderturn.traffic.SlotQueue;
import org.oleanderturn.traffic.SlotTicket;

/** A guard of a target on loopback, which is closed at first, and requests for it. */
final class GuardFixture {
    static final ServiceName SERVICE = ServiceName.of("service");
    static final NodeId NODE = NodeId.of("own");

    final SlotQueue slots = SlotQueue.of(System::nanoTime);
    final LocalTarget target = LocalTarget.of(NODE, SERVICE, slots, Duration.ofMinutes(1), System::nanoTime);
    final MeshGuard guard;

    GuardFixture(Address address, UpstreamClient client, InducedRetries inducedRetries) {
        guard = MeshGuard.of(
                address,
                target,
                slots,
                client,
                SlotTicket::await,
                new FakeProtocolAdapter(Optional.empty()),
                CrashMonitor.of(NODE, CrashLedger.of(() -> 0), _ -> {}, System::nanoTime),
                _ -> {},
                ResponsePacer.of(LinkSchedule.unlimited(System::nanoTime), Thread::sleep),
                inducedRetries,
                System::nanoTime);
    }

    /** Returns the fixture of a target that is open with nine slots and calls no service. */
    static GuardFixture open(Address address, UpstreamClient client) {
        GuardFixture fixture = new GuardFixture(address, client, InducedRetries.none());
        fixture.open(9);
        return fixture;
    }

    void open(int slotCount) {
        target.applyReport(new TargetReport(new TargetStart("i-1", 1), 1, SERVICE, slotCount, false));
    }

    /**
     * Returns a request without a body.
     *
     * @param timeLimit the time that is left for it
     * @param isRepeat whether an earlier attempt may have reached a target
     */
    static GuardRequest request(
            String id, RequestKind kind, Duration timeLimit, boolean isRepeat, BodyReservation bodies) {
        return request(id, kind, timeLimit, isRepeat, Optional.empty(), Optional.empty(), bodies);
    }

    /** Returns a request as above, of an organisation, whose entry checked the given key. */
    static GuardRequest request(
            String id,
            RequestKind kind,
            Duration timeLimit,
            boolean isRepeat,
            Optional<OrganisationName> organisation,
            Optional<CheckedKey> key,
            BodyReservation bodies) {
        GuardRequestMetadata metadata = new GuardRequestMetadata(
                SERVICE,
                ServiceName.of("caller"),
                kind,
                1,
                timeLimit,
                Duration.ofMillis(600),
                Duration.ZERO,
                1,
                isRepeat,
                Optional.empty(),
                Optional.empty(),
                organisation,
                key);
        return new GuardRequest(
                "GET",
                "/a/x",
                List.of(HeaderField.of("Id", id)),
                new byte[0],
                RequestIdentity.of("GET", "host.example", "/a/x", metadata.sender(), new byte[0]),
                new ClientRequestMetadata(id, Optional.of(timeLimit), "host.example"),
                metadata,
                Duration.ZERO,
                timeLimit,
                bodies,
                Cancellation.create());
    }
}
