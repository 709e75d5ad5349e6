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
    private final List<AutoCloseable> open = new ArrayList<>();
    private final HttpListener first;
    private final HttpListener second;
    private final List<BookingClaims> claims = new ArrayList<>();

    FakeMesh(FaultRelay.Gate atGuard, FaultRelay.Gate atTarget) throws IOException {
        this(atGuard, atTarget, "bookings", LIMIT_BYTES);
    }

    /** Makes a mesh whose hosts serve the given service, whatever the routes say, and whose entries have little room. */
    FakeMesh(FaultRelay.Gate atGuard, FaultRelay.Gate atTarget, String served, long bodyBytes) throws IOException {
        this.near = new FakeHost("near", ServiceName.of(served), executor, atGuard, atTarget);
        this.far = new FakeHost(
                "far", ServiceName.of(served), executor, _ -> FaultRelay.Verdict.PASS, _ -> FaultRelay.Verdict.PASS);
        RoutingTable table = table();
        BodyMemoryBudget bodies = BodyMemoryBudget.of(bodyBytes);
        this.first = entry(table, bodies);
        this.second = entry(table, bodies);
    }

    /** What a caller got: a whole answer, or none when the connection was cut. */
    record Reply(int status, Optional<RequestOutcome> outcome, boolean isTimeStated, String body) {
        static Optional<Reply> of(UpstreamResponse answer) {
            try (answer) {
                String body = new String(answer.readBody(LIMIT_BYTES).orElseThrow(), StandardCharsets.UTF_8);
                Optional<RequestOutcome> outcome =
                        answer.header(ProxyHeaders.OUTCOME).flatMap(RequestOutcome::parse);
                boolean isTimeStated =
                        answer.header(ProxyHeaders.RETRY_AFTER_MILLISECONDS).isPresent();
                return Optional.of(new Reply(answer.status(), outcome, isTimeStated, body));
            } catch (IOException cut) {
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

    /** Returns the ids of all requests that ran anywhere. */
    List<String> runs() {
        List<String> runs = new ArrayList<>(near.target().runs());
        runs.addAll(far.target().runs());
        return runs;
    }

    // -- commands

    Optional<Reply> sendToFirst(Call call) {
        return send(first, call);
    }

    Optional<Reply> sendToSecond(Call call) {
        return send(second, call);
    }

    boolean stopFirstEntry() {
        return first.drain(Duration.ofSeconds(30));
    }

    void settleClaims() {
        claims.forEach(BookingClaims::retryPendingSettlements);
    }

    /** One request of a caller. */
    record Call(String path, String requestId, String key, Duration deadline, Cancellation cancellation) {
        OutboundRequest message() {
            List<HeaderField> headers = List.of(
                    HeaderField.of(ProxyHeaders.REQUEST_ID, requestId),
                    HeaderField.of(ProxyHeaders.IDEMPOTENCY_KEY, key),
                    HeaderField.of(ProxyHeaders.DEADLINE, deadline.toMillis()));
            byte[] body = "the body".getBytes(StandardCharsets.UTF_8);
            Duration patience = Duration.ofSeconds(60);
            return new OutboundRequest("POST", path, headers, body, SendPolicy.NEW_CONNECTION, patience, patience);
        }
    }

    private static Optional<Reply> send(HttpListener entry, Call call) {
        try (UpstreamClient caller = UpstreamClient.of(1)) {
            Either<UpstreamFailure, UpstreamResponse> answer =
                    caller.send(entry.address(), call.message(), call.cancellation());
            return answer.fold(_ -> Optional.empty(), Reply::of);
        }
    }

    @Override
    public void close() throws Exception {
        first.close();
        second.close();
        for (AutoCloseable closeable : open) {
            closeable.close();
        }
        near.close();
        far.close();
        executor.shutdownNow();
    }

    // -- parts

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

    private HttpListener entry(RoutingTable table, BodyMemoryBudget bodies) {
        Random random = new Random(2);
        OutlierEjection ejection = OutlierEjection.of(EjectionSettings.defaults());
        UpstreamStatistics statistics = UpstreamStatistics.of(ejection, System::nanoTime);
        UpstreamClient client = UpstreamClient.of(16);
        open.add(client);
        EntryDependencies parts = new EntryDependencies(
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
        BookingClaims own =
                BookingClaims.of(store, ClaimSettings.defaults(), System::currentTimeMillis, new SecureRandom());
        claims.add(own);
        Entry entry =
                Entry.of(() -> table, () -> true, parts, BookingHandler.of(own)).withBodyBudget(bodies);
        return HttpListener.start("127.0.0.1", 0, entry, ListenerLimits.defaults())
                .get();
    }
}
