package org.oleanderturn.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
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
import org.oleanderturn.proxy.BodyReservation;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.HttpListener;
import org.oleanderturn.proxy.ListenerLimits;
import org.oleanderturn.proxy.ProxyHeaders;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.traffic.AgedReport;
import org.oleanderturn.traffic.InducedRetries;
import org.oleanderturn.traffic.LoadReport;
import org.oleanderturn.traffic.SlotRequest;
import org.oleanderturn.traffic.SlotTicket;
import org.oleanderturn.traffic.TargetLoadTracker;
import org.oleanderturn.traffic.WindowedRetryBudget;

final class GuardClientTest {
    private static final Locality LOCALITY = Locality.of("south", "hobart");
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final OrganisationName ORGANISATION = OrganisationName.of("first");
    private static final KeyDigest KEY = KeyDigest.ofKey("key-1");
    private static final KeyDigest OTHER_KEY = KeyDigest.ofKey("key-2");
    private static final GuardReply REMOVED = new GuardReply.NotRun("KEY_REMOVED", false, Duration.ZERO);

    private static final long WINDOW_NANOSECONDS = Duration.ofMinutes(1).toNanos();

    private final AtomicInteger runs = new AtomicInteger();
    private final List<WindowedRetryBudget> called = new CopyOnWriteArrayList<>();
    private SlotTicket occupying;
    private final HttpListener target = HttpListener.start("127.0.0.1", 0, _ -> run(), ListenerLimits.defaults())
            .get();
    private final UpstreamClient client = UpstreamClient.of(4);
    private final TargetLoadTracker loads = TargetLoadTracker.of(System::nanoTime);
    private final GuardFixture fixture = new GuardFixture(
            target.address(), client, InducedRetries.of(() -> called, WINDOW_NANOSECONDS, System::nanoTime));
    private final MeshGuard guard = fixture.guard;
    private final HttpListener peers =
            HttpListener.start("127.0.0.1", 0, guard, ListenerLimits.defaults()).get();
    private final GuardClient guards =
            GuardClient.of(GuardFixture.NODE, guard, client, loads, TargetConditions.empty());

    @AfterEach
    void close() {
        client.close();
        peers.close();
        target.close();
    }

    @Test
    void shouldGetTheSameReplyWhenTheGuardIsLocalOrRemote() {
        openTarget();
        GuardReply.Ran localReply =
                (GuardReply.Ran) guards.call(endpoint(GuardFixture.NODE, peers.address()), request());
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
        assertThat(guards.call(endpoint(GuardFixture.NODE, unusedAddress), request()))
                .isInstanceOf(GuardReply.Ran.class);
        assertThat(guards.call(endpoint(NodeId.of("other"), unusedAddress), request()))
                .isInstanceOf(GuardReply.NotRun.class);
    }

    @Test
    void shouldRecordTheReportedLoadWhenAGuardReplies() {
        openTarget();
        var _ = guards.call(endpoint(GuardFixture.NODE, peers.address()), request());
        var _ = guards.call(endpoint(NodeId.of("other"), peers.address()), request());
        assertThat(slotsOf(GuardFixture.NODE)).isEqualTo(9);
        assertThat(slotsOf(NodeId.of("other"))).isEqualTo(9);
    }

    /** Fails when the load of other targets is lost on the way, taken for that of the guard, or shown to the client. */
    @Test
    void shouldRecordTheLoadOfOtherTargetsWhenAReplyPassesItOn() {
        NodeId third = NodeId.of("third");
        LoadReport report = new LoadReport(6, 5, 1, 30);
        guard.passOn(() -> List.of(new AgedReport(third, report, 0), new AgedReport(GuardFixture.NODE, report, 0)));
        openTarget();
        assertThat(loads.load(third).measured()).isEqualTo(Optional.empty());
        GuardReply.Ran reply = (GuardReply.Ran) guards.call(endpoint(NodeId.of("other"), peers.address()), request());
        assertThat(loads.load(third).measured()).isEqualTo(Optional.of(report));
        assertThat(loads.load(GuardFixture.NODE).measured()).isEqualTo(Optional.empty());
        assertThat(slotsOf(NodeId.of("other"))).isEqualTo(9);
        assertThat(reply.response().header(ProxyHeaders.LOAD)).isEqualTo(Optional.empty());
    }

    @Test
    void shouldNotRunWhenTheLocalTargetIsClosed() {
        GuardReply reply = guards.call(endpoint(GuardFixture.NODE, peers.address()), request());
        assertThat(reply).isInstanceOf(GuardReply.NotRun.class);
        assertThat(runs.get()).isEqualTo(0);
    }

    @Test
    void shouldNotReachTheTargetWhenTheRequestIsAlreadyCancelled() {
        openTarget();
        GuardRequest request = request();
        request.cancellation().cancel();
        assertThat(guards.call(endpoint(GuardFixture.NODE, peers.address()), request))
                .isInstanceOf(GuardReply.NotRun.class);
        assertThat(runs.get()).isEqualTo(0);
    }

    /** Retried runs that wait for a slot have all seen the same room, which is enough for one of them. */
    @Test
    @Timeout(30)
    void shouldRefuseARetriedRunWhenAnotherHasUsedTheRoomDuringItsWait() {
        long longAgo = System.nanoTime() - WINDOW_NANOSECONDS;
        WindowedRetryBudget budget = WindowedRetryBudget.of(1, () -> 0, WINDOW_NANOSECONDS, longAgo, System::nanoTime);
        budget.recordRequest();
        called.add(budget);
        fixture.open(1);
        SlotTicket busy = fixture.slots.request(SlotRequest.within(TIMEOUT, 1, Duration.ofMillis(1), TIMEOUT, TIMEOUT));
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int count = 0; count < 2; count++) {
                executor.execute(() -> guard.execute(request(true)));
            }
            while (fixture.slots.state().waiting() < 2) {
                Thread.onSpinWait();
            }
            fixture.slots.release(busy);
        }
        assertThat(runs.get()).isEqualTo(1);
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
        fixture.slots.release(occupying);
        assertThat(kept.join()).isInstanceOf(GuardReply.Ran.class);
        assertThat(runs.get()).isEqualTo(1);
    }

    @Test
    void shouldRefuseARequestWhenItsSlotIsGrantedAfterItsKeyWasRemoved() {
        hold(2, KEY, OTHER_KEY);
        CompletableFuture<GuardReply> removed = waitForSlot(2, KEY, 1);
        hold(3, OTHER_KEY);
        fixture.slots.release(occupying);
        assertThat(removed.join()).isEqualTo(REMOVED);
        assertThat(guards.call(endpoint(NodeId.of("other"), peers.address()), request(Optional.of(checked(2, KEY)))))
                .isEqualTo(REMOVED);
        assertThat(runs.get()).isEqualTo(0);
    }

    /** A guard that lacks the version that added a key must not take it for a removed one. */
    @Test
    void shouldRunARequestWhenTheGuardHoldsAnOlderVersionThanTheEntry() {
        hold(2, OTHER_KEY);
        fixture.open(9);
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
            fixture.open(1);
            occupying = fixture.slots.request(SlotRequest.of(0, TIMEOUT));
        }
        CompletableFuture<GuardReply> reply = CompletableFuture.supplyAsync(
                () -> guards.call(
                        endpoint(NodeId.of("other"), peers.address()), request(Optional.of(checked(version, key)))),
                Thread::startVirtualThread);
        while (fixture.slots.state().waiting() < waiting) {
            Thread.onSpinWait();
        }
        return reply;
    }

    private int slotsOf(NodeId node) {
        return loads.load(node).report().map(LoadReport::slots).orElse(0);
    }

    private void openTarget() {
        fixture.open(9);
    }

    private Response run() {
        runs.incrementAndGet();
        return Response.of(
                200,
                List.of(HeaderField.of("Id", "id-1"), HeaderField.of("Signed", "i-1")),
                new Response.Body.Buffered(new byte[] {'o', 'k'}));
    }

    private static Endpoint endpoint(NodeId node, Address address) {
        return new Endpoint(node, address, LOCALITY, GuardFixture.SERVICE, 9, EndpointState.READY, 1);
    }

    private static GuardRequest request() {
        return request(false);
    }

    private static GuardRequest request(boolean isRepeat) {
        return GuardFixture.request("id-1", RequestKind.LOOKUP, TIMEOUT, isRepeat, BodyReservation.unlimited());
    }

    private static GuardRequest request(Optional<CheckedKey> key) {
        return GuardFixture.request(
                "id-1",
                RequestKind.LOOKUP,
                TIMEOUT,
                false,
                key.map(_ -> ORGANISATION),
                key,
                BodyReservation.unlimited());
    }
}
