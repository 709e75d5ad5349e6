package org.oleanderturn.proxy;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.oleanderturn.claims.BookingClaims;
import org.oleanderturn.claims.ClaimSettings;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.RoutingTable;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.model.TrafficPolicy;
import org.oleanderturn.model.TrafficPolicyName;
import org.oleanderturn.store.FakeStore;
import org.oleanderturn.traffic.CrashQuarantine;
import org.oleanderturn.traffic.EjectionSettings;
import org.oleanderturn.traffic.HedgePolicy;
import org.oleanderturn.traffic.OutlierEjection;
import org.oleanderturn.traffic.RetryPolicy;
import org.oleanderturn.traffic.RouteBudgets;
import org.oleanderturn.traffic.TwoChoicesBalancer;
import org.oleanderturn.traffic.UpstreamStatistics;

/**
 * Two hosts, two entries beside the first host, one store, and a caller, all on loopback.
 *
 * <p>Thread safe.
 */
final class FakeMesh implements AutoCloseable {
    private static final int LIMIT_BYTES = 1_000_000;
    private static final int TIMEOUT_MILLISECONDS = 60_000;
    private static final TrafficPolicy POLICY =
            new TrafficPolicy(TrafficPolicyName.of("policy"), TIMEOUT_MILLISECONDS, 2, 100, 95, 0, 4, 0);

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final FakeStore store = FakeStore.create();
    private final FakeHost near;
    private final FakeHost far;
    private final List<AutoCloseable> closeables = new ArrayList<>();
    private final HttpListener firstEntry;
    private final HttpListener secondEntry;
    private final List<BookingClaims> claims = new ArrayList<>();

    FakeMesh(FaultRelay.FaultInjector guardFaults, FaultRelay.FaultInjector targetFaults) throws IOException {
        this(guardFaults, targetFaults, "bookings", LIMIT_BYTES);
    }

    /**
     * Creates a mesh whose hosts provide the given service, regardless of the routes, and whose entries have a body
     * budget of the given size.
     */
    FakeMesh(
            FaultRelay.FaultInjector guardFaults, FaultRelay.FaultInjector targetFaults, String service, long bodyBytes)
            throws IOException {
        this.near = new FakeHost("near", ServiceName.of(service), executor, guardFaults, targetFaults);
        this.far = new FakeHost(
                "far",
                ServiceName.of(service),
                executor,
                _ -> FaultRelay.FaultAction.PASS,
                _ -> FaultRelay.FaultAction.PASS);
        RoutingTable table = table();
        BodyMemoryBudget bodyBudget = BodyMemoryBudget.of(bodyBytes);
        this.firstEntry = startEntry(table, bodyBudget);
        this.secondEntry = startEntry(table, bodyBudget);
    }

    /** The response that a caller received. */
    record Reply(int status, Optional<RequestOutcome> outcome, boolean hasRetryAfter, String body) {
        /** Reads the whole response; returns empty if the connection failed first. */
        static Optional<Reply> of(UpstreamResponse response) {
            try (response) {
                String body = new String(response.readBody(LIMIT_BYTES).orElseThrow(), StandardCharsets.UTF_8);
                Optional<RequestOutcome> outcome =
                        response.header(ProxyHeaders.OUTCOME).flatMap(RequestOutcome::parse);
                boolean hasRetryAfter =
                        response.header(ProxyHeaders.RETRY_AFTER_MILLISECONDS).isPresent();
                return Optional.of(new Reply(response.status(), outcome, hasRetryAfter, body));
            } catch (IOException connectionLost) {
                return Optional.empty();
            }
        }

        boolean isOutcome(RequestOutcome other) {
            return outcome.equals(Optional.of(other));
        }
    }

    // -- queries

    FakeHost near() {
        return near;
    }

    FakeHost far() {
        return far;
    }

    FakeStore store() {
        return store;
    }

    ExecutorService executor() {
        return executor;
    }

    /** Returns the ids of all requests that ran at either target. */
    List<String> runs() {
        List<String> runs = new ArrayList<>(near.target().runs());
        runs.addAll(far.target().runs());
        return runs;
    }

    // -- commands

    Optional<Reply> sendToFirst(Call call) {
        return send(firstEntry, call);
    }

    Optional<Reply> sendToSecond(Call call) {
        return send(secondEntry, call);
    }

    boolean stopFirstEntry() {
        return firstEntry.drain(Duration.ofSeconds(30));
    }

    void settlePendingClaims() {
        claims.forEach(BookingClaims::retryPendingSettlements);
    }

    /** A request of a caller. */
    record Call(String path, String requestId, String key, Duration deadline, Cancellation cancellation) {
        OutboundRequest message() {
            List<HeaderField> headers = List.of(
                    HeaderField.of(ProxyHeaders.REQUEST_ID, requestId),
                    HeaderField.of(ProxyHeaders.IDEMPOTENCY_KEY, key),
                    HeaderField.of(ProxyHeaders.DEADLINE, deadline.toMillis()));
            byte[] body = "the body".getBytes(StandardCharsets.UTF_8);
            Duration timeout = Duration.ofSeconds(60);
            return new OutboundRequest("POST", path, headers, body, SendPolicy.NEW_CONNECTION, timeout, timeout);
        }
    }

    private static Optional<Reply> send(HttpListener entry, Call call) {
        try (UpstreamClient caller = UpstreamClient.of(1)) {
            Either<UpstreamFailure, UpstreamResponse> response =
                    caller.send(entry.address(), call.message(), call.cancellation());
            return response.fold(_ -> Optional.empty(), Reply::of);
        }
    }

    @Override
    public void close() throws Exception {
        firstEntry.close();
        secondEntry.close();
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
        near.close();
        far.close();
        executor.shutdownNow();
    }

    // -- setup

    private RoutingTable table() {
        Service service = Service.of(FakeHost.SERVICE.value(), 4, 8);
        Configuration configuration = Configuration.of(
                List.of(service),
                List.of(route("/booking", RequestKind.BOOKING), route("/lookup", RequestKind.LOOKUP)),
                List.of(POLICY));
        return RoutingTable.of(
                ConfigurationSnapshot.of(ConfigurationVersion.of(1), configuration),
                EndpointView.of(List.of(near.endpoint(), far.endpoint())));
    }

    private static Route route(String path, RequestKind kind) {
        RouteName name = RouteName.of(path.substring(1));
        return Route.of(name, path, List.of("POST"), FakeHost.SERVICE, kind, POLICY.name());
    }

    private HttpListener startEntry(RoutingTable table, BodyMemoryBudget bodyBudget) {
        Random random = new Random(2);
        OutlierEjection ejection = OutlierEjection.of(EjectionSettings.defaults());
        UpstreamStatistics statistics = UpstreamStatistics.of(ejection, System::nanoTime);
        UpstreamClient client = UpstreamClient.of(16);
        closeables.add(client);
        EntryDependencies dependencies = new EntryDependencies(
                near.locality(),
                TwoChoicesBalancer.of(statistics, ejection, System::nanoTime, random),
                statistics,
                RetryPolicy.of(random),
                RouteBudgets.empty(),
                HedgePolicy.of(System::nanoTime),
                CrashQuarantine.of(NodeId.of("entry"), System::currentTimeMillis, random),
                client,
                executor,
                System::nanoTime);
        BookingClaims entryClaims =
                BookingClaims.of(store, ClaimSettings.defaults(), System::currentTimeMillis, new SecureRandom());
        claims.add(entryClaims);
        Entry entry = Entry.of(() -> table, () -> true, dependencies, BookingHandler.of(entryClaims))
                .withBodyBudget(bodyBudget);
        return HttpListener.start("127.0.0.1", 0, entry, ListenerLimits.defaults())
                .get();
    }
}
