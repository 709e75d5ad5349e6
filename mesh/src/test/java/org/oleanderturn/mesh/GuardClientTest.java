package org.oleanderturn.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.KeyDigest;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Organisation;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.proxy.BodyReservation;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.HttpListener;
import org.oleanderturn.proxy.ListenerLimits;
import org.oleanderturn.proxy.ProxyHeaders;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.traffic.AgedReport;
import org.oleanderturn.traffic.CrashLedger;
import org.oleanderturn.traffic.InducedRetries;
import org.oleanderturn.traffic.LinkSchedule;
import org.oleanderturn.traffic.LoadReport;
import org.oleanderturn.traffic.SlotQueue;
import org.oleanderturn.traffic.SlotRequest;
import org.oleanderturn.traffic.SlotTicket;
import org.oleanderturn.traffic.TargetLoadTracker;

final class GuardClientTest {
    private static final ServiceName SERVICE = ServiceName.of("bookings");
    private static final NodeId LOCAL_NODE = NodeId.of("own");
    private static final Locality LOCALITY = Locality.of("south", "hobart");
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final OrganisationName ORGANISATION = OrganisationName.of("first");
    private static final KeyDigest KEY = KeyDigest.ofKey("key-1");
    private static final KeyDigest OTHER_KEY = KeyDigest.ofKey("key-2");
    private static final GuardReply REMOVED = new GuardReply.NotRun("KEY_REMOVED", false, Duration.ZERO);

    private final AtomicInteger runs = new AtomicInteger();
    private SlotTicket occupying;
    private final HttpListener target = HttpListener.start("127.0.0.1", 0, _ -> run(), ListenerLimits.defaults())
            .get();
    private final UpstreamClient client = UpstreamClient.of(4);
    private final TargetLoadTracker loads = TargetLoadTracker.of(System::nanoTime);
    private final SlotQueue slots = SlotQueue.of(System::nanoTime);
    private final LocalTarget localTarget =
            LocalTarget.of(LOCAL_NODE, SERVICE, slots, Duration.ofMinutes(1), System::nanoTime);
    private final MeshGuard guard = MeshGuard.of(
            target.address(),
            localTarget,
            slots,
            client,
            SlotTicket::await,
            new FakeProtocolAdapter(Optional.empty()),
            CrashMonitor.of(LOCAL_NODE, CrashLedger.of(() -> 0), _ -> {}, System::nanoTime),
            _ -> {},
            ResponsePacer.of(LinkSchedule.unlimited(System::nanoTime), Thread::sleep),
            InducedRetries.none(),
            System::nanoTime);
    private final HttpListener peers =
            HttpListener.start("127.0.0.1", 0, guard, ListenerLimits.defaults()).get();
    private final GuardClient guards = GuardClient.of(LOCAL_NODE, guard, client, loads, TargetConditions.empty());

    @AfterEach
    void close() {
        client.close();
        peers.close();
        target.close();
    }

    @Test
    void shouldGetTheSameReplyWhenTheGuardIsLocalOrRemote() {
        openTarget();
        GuardReply.Ran localReply = (GuardReply.Ran) guards.call(endpoint(LOCAL_NODE, peers.address()), request());
        GuardReply.Ran remoteReply =
                (GuardReply.Ran) guards.call(endpoint(NodeId.of("other"), peers.address()), request());
        assertThat(localReply.response().status()).isEqualTo(200);
        assertThat(localReply.response().body())
                .isEqualTo(remoteReply.response().body());
        assertThat(localReply.response().header("Signed"))
                .isEqualTo(remoteReply.response().header("Signed"));
        assertThat(runs.get()).isEqualTo(2);
    }

    @Test
    void shouldReachTheLocalGuardWhenItsAddressRefusesConnections() {
        openTarget();
        Address unusedAddress = Address.of("127.0.0.1", 1);
        assertThat(guards.call(endpoint(LOCAL_NODE, unusedAddress), request())).isInstanceOf(GuardReply.Ran.class);
        assertThat(guards.call(endpoint(NodeId.of("other"), unusedAddress), request()))
                .isInstanceOf(GuardReply.NotRun.class);
    }

    @Test
    void shouldRecordTheReportedLoadWhenAGuardReplies() {
        openTarget();
        var _ = guards.call(endpoint(LOCAL_NODE, peers.address()), request());
        var _ = guards.call(endpoint(NodeId.of("other"), peers.address()), request());
        assertThat(slotsOf(LOCAL_NODE)).isEqualTo(9);
        assertThat(slotsOf(NodeId.of("other"))).isEqualTo(9);
    }

    /** Fails when the load of other targets is lost on the way, taken for that of the guard, or shown to the client. */
    @Test
    void shouldRecordTheLoadOfOtherTargetsWhenAReplyPassesItOn() {
        NodeId third = NodeId.of("third");
        LoadReport report = new LoadReport(6, 5, 1, 30);
        guard.passOn(() -> List.of(new AgedReport(third, report, 0), new AgedReport(LOCAL_NODE, report, 0)));
        openTarget();
        assertThat(loads.load(third).measured()).isEqualTo(Optional.empty());
        GuardReply.Ran reply = (GuardReply.Ran) guards.call(endpoint(NodeId.of("other"), peers.address()), request());
        assertThat(loads.load(third).measured()).isEqualTo(Optional.of(report));
        assertThat(loads.load(LOCAL_NODE).measured()).isEqualTo(Optional.empty());
        assertThat(slotsOf(NodeId.of("other"))).isEqualTo(9);
        assertThat(reply.response().header(ProxyHeaders.LOAD)).isEqualTo(Optional.empty());
    }

    @Test
    void shouldNotRunWhenTheLocalTargetIsClosed() {
        GuardReply reply = guards.call(endpoint(LOCAL_NODE, peers.address()), request());
        assertThat(reply).isInstanceOf(GuardReply.NotRun.class);
        assertThat(runs.get()).isEqualTo(0);
    }

    @Test
    void shouldNotReachTheTargetWhenTheRequestIsAlreadyCancelled() {
        openTarget();
        GuardRequest request = request();
        request.cancellation().cancel();
        assertThat(guards.call(endpoint(LOCAL_NODE, peers.address()), request)).isInstanceOf(GuardReply.NotRun.class);
        assertThat(runs.get()).isEqualTo(0);
    }

    /** Guards against a run for a key that a newer version removed while its request waited for a slot. */
    @Test
    void shouldRefuseAWaitingRequestAtOnceWhenANewerVersionRemovesItsKey() {
        hold(2, KEY, OTHER_KEY);
        CompletableFuture<GuardReply> removed = waitForSlot(2, KEY, 1);
        CompletableFuture<GuardReply> kept = waitForSlot(2, OTHER_KEY, 2);
        hold(3, OTHER_KEY);
        guard.refuseRemovedKeys();
        assertThat(removed.join()).isEqualTo(REMOVED);
        assertThat(kept.isDone()).isFalse();
        slots.release(occupying);
        assertThat(kept.join()).isInstanceOf(GuardReply.Ran.class);
        assertThat(runs.get()).isEqualTo(1);
    }

    @Test
    void shouldRefuseARequestWhenItsSlotIsGrantedAfterItsKeyWasRemoved() {
        hold(2, KEY, OTHER_KEY);
        CompletableFuture<GuardReply> removed = waitForSlot(2, KEY, 1);
        hold(3, OTHER_KEY);
        slots.release(occupying);
        assertThat(removed.join()).isEqualTo(REMOVED);
        assertThat(guards.call(endpoint(NodeId.of("other"), peers.address()), request(Optional.of(checked(2, KEY)))))
                .isEqualTo(REMOVED);
        assertThat(runs.get()).isEqualTo(0);
    }

    /** A guard that lacks the version that added a key must not take it for a removed one. */
    @Test
    void shouldRunARequestWhenTheGuardHoldsAnOlderVersionThanTheEntry() {
        hold(2, OTHER_KEY);
        openTarget();
        GuardRequest request = request(Optional.of(checked(3, KEY)));
        assertThat(guards.call(endpoint(NodeId.of("other"), peers.address()), request))
                .isInstanceOf(GuardReply.Ran.class);
        hold(4);
        assertThat(guards.call(endpoint(NodeId.of("other"), peers.address()), request()))
                .isInstanceOf(GuardReply.Ran.class);
    }

    /** Lets the guard hold a version in which the organisation has the given keys. */
    private void hold(int version, KeyDigest... keys) {
        Configuration configuration = Configuration.empty()
                .withOrganisations(Optional.of(List.of(Organisation.of(ORGANISATION, List.of(keys)))));
        RouteIndex index = RouteIndex.of(ConfigurationSnapshot.of(ConfigurationVersion.of(version), configuration));
        guard.checkKeysBy(() -> index);
    }

    private static CheckedKey checked(int version, KeyDigest key) {
        return CheckedKey.of(ConfigurationVersion.of(version), key);
    }

    /** Sends a request of another node while the only slot is taken; returns when it waits as one of the given number. */
    private CompletableFuture<GuardReply> waitForSlot(int version, KeyDigest key, int waiting) {
        if (waiting == 1) {
            localTarget.applyReport(new TargetReport(new TargetStart("i-1", 1), 1, SERVICE, 1, false));
            occupying = slots.request(SlotRequest.of(0, TIMEOUT));
        }
        CompletableFuture<GuardReply> reply = CompletableFuture.supplyAsync(
                () -> guards.call(
                        endpoint(NodeId.of("other"), peers.address()), request(Optional.of(checked(version, key)))),
                Thread::startVirtualThread);
        while (slots.state().waiting() < waiting) {
            Thread.onSpinWait();
        }
        return reply;
    }

    private int slotsOf(NodeId node) {
        return loads.load(node).report().map(LoadReport::slots).orElse(0);
    }

    private void openTarget() {
        localTarget.applyReport(new TargetReport(new TargetStart("i-1", 1), 1, SERVICE, 9, false));
    }

    private Response run() {
        runs.incrementAndGet();
        return Response.of(
                200,
                List.of(HeaderField.of("Id", "id-1"), HeaderField.of("Signed", "i-1")),
                new Response.Body.Buffered(new byte[] {'o', 'k'}));
    }

    private static Endpoint endpoint(NodeId node, Address address) {
        return new Endpoint(node, address, LOCALITY, SERVICE, 9, EndpointState.READY, 1);
    }

    private static GuardRequest request() {
        return request(Optional.empty());
    }

    private static GuardRequest request(Optional<CheckedKey> key) {
        GuardRequestMetadata metadata = new GuardRequestMetadata(
                SERVICE,
                ServiceName.of("caller"),
                RequestKind.LOOKUP,
                1,
                TIMEOUT,
                Duration.ofMillis(600),
                Duration.ZERO,
                1,
                false,
                Optional.empty(),
                Optional.empty(),
                key.map(_ -> ORGANISATION),
                key);
        return new GuardRequest(
                "GET",
                "/a/1",
                List.of(HeaderField.of("Id", "id-1")),
                new byte[0],
                RequestIdentity.of("GET", "/a/1", new byte[0]),
                new ClientRequestMetadata("id-1", Optional.of(TIMEOUT), "host.example"),
                metadata,
                Duration.ZERO,
                TIMEOUT,
                BodyReservation.unlimited(),
                Cancellation.create());
    }
}
