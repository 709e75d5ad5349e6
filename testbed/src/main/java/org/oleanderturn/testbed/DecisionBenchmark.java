package org.oleanderturn.testbed;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.RoutingTable;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.TrafficPolicy;
import org.oleanderturn.model.TrafficPolicyName;
import org.oleanderturn.traffic.Attempt;
import org.oleanderturn.traffic.AttemptOutcome;
import org.oleanderturn.traffic.EjectionSettings;
import org.oleanderturn.traffic.OutlierEjection;
import org.oleanderturn.traffic.TwoChoicesBalancer;
import org.oleanderturn.traffic.UpstreamStatistics;

/**
 * Cost of choosing an endpoint for an attempt and of recording its start and end, by number of endpoints.
 *
 * <p>Runs the production balancer and statistics in a single-threaded loop, without a network. Used by one thread.
 */
final class DecisionBenchmark implements BenchExperiment {
    private static final List<Integer> ENDPOINT_COUNTS = List.of(10, 100, 1_100);
    private static final int ZONES = 7;
    private static final int SLOTS = 10;
    private static final int REPEATS = 5;
    private static final long WARMUP_NANOSECONDS = 2_000_000_000L;
    private static final long RUN_NANOSECONDS = 1_500_000_000L;
    private static final int BATCH = 1_000;
    private static final Locality OWN_LOCALITY = Locality.of("region-0", "zone-0");
    private static final LongSupplier NANOSECOND_CLOCK = System::nanoTime;

    /** Mean cost of one decision: its time and the memory that it allocates. */
    private record DecisionCost(double nanoseconds, double bytes) {}

    @Override
    public String name() {
        return "decisions";
    }

    @Override
    public String description() {
        return "cost of choosing an endpoint and of keeping its statistics, by number of endpoints";
    }

    @Override
    public List<BenchRow> run() {
        List<BenchRow> rows = new ArrayList<>();
        double smallestTime = 0;
        for (int endpoints : ENDPOINT_COUNTS) {
            DecisionLoop loop = DecisionLoop.of(endpoints);
            loop.measure(WARMUP_NANOSECONDS);
            List<DecisionCost> runs = new ArrayList<>();
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                runs.add(loop.measure(RUN_NANOSECONDS));
            }
            BenchSamples time =
                    BenchSamples.of(runs.stream().map(DecisionCost::nanoseconds).toList());
            smallestTime = smallestTime == 0 ? time.median() : smallestTime;
            rows.add(BenchRow.of("choose, begin and finish, " + endpoints + " endpoints", "ns", time)
                    .withBaseline(smallestTime)
                    .withNote("baseline: " + ENDPOINT_COUNTS.getFirst() + " endpoints; a single-threaded loop"));
            rows.add(BenchRow.of(
                    "allocated a decision, " + endpoints + " endpoints",
                    "bytes",
                    BenchSamples.of(runs.stream().map(DecisionCost::bytes).toList())));
        }
        return rows;
    }

    /** The balancer and statistics for one route, whose endpoints are spread over seven zones in two regions. */
    private record DecisionLoop(TwoChoicesBalancer balancer, UpstreamStatistics statistics, RoutingTable.Entry entry) {

        static DecisionLoop of(int endpoints) {
            OutlierEjection ejection = OutlierEjection.of(EjectionSettings.defaults());
            UpstreamStatistics statistics = UpstreamStatistics.of(ejection, NANOSECOND_CLOCK);
            RandomGenerator random = new Random(endpoints);
            return new DecisionLoop(
                    TwoChoicesBalancer.of(statistics, ejection, NANOSECOND_CLOCK, random),
                    statistics,
                    routingEntry(endpoints));
        }

        DecisionCost measure(long durationNanoseconds) {
            ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
            long bytesBefore = threads.getCurrentThreadAllocatedBytes();
            long start = System.nanoTime();
            long decisions = 0;
            while (System.nanoTime() - start < durationNanoseconds) {
                for (int number = 0; number < BATCH; number++) {
                    decide();
                }
                decisions += BATCH;
            }
            double nanoseconds = (double) (System.nanoTime() - start) / decisions;
            double bytes = (double) (threads.getCurrentThreadAllocatedBytes() - bytesBefore) / decisions;
            return new DecisionCost(nanoseconds, bytes);
        }

        private void decide() {
            Optional<Endpoint> chosen = balancer.choose(entry, OWN_LOCALITY, Set.of());
            Attempt attempt = statistics.begin(chosen.orElseThrow());
            statistics.recordFirstByte(attempt);
            statistics.finish(attempt, new AttemptOutcome.Succeeded());
        }
    }

    private static RoutingTable.Entry routingEntry(int count) {
        Service service = Service.of("bench", SLOTS, SLOTS);
        TrafficPolicy policy = new TrafficPolicy(TrafficPolicyName.of("bench"), 2_000, 3, 20, 95, 5, 20, 30);
        Route route =
                Route.of(RouteName.of("bench"), "/", List.of("GET"), service.name(), RequestKind.LOOKUP, policy.name());
        List<Endpoint> endpoints = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            int zone = number % ZONES;
            Locality locality = Locality.of("region-" + zone % 2, "zone-" + zone);
            NodeId node = NodeId.of("node-" + number);
            Address address = Address.of("127.0.0.1", 1_024 + number);
            endpoints.add(new Endpoint(node, address, locality, service.name(), SLOTS, EndpointState.READY, 1));
        }
        Configuration configuration = Configuration.of(List.of(service), List.of(route), List.of(policy));
        RoutingTable table = RoutingTable.of(
                ConfigurationSnapshot.of(ConfigurationVersion.of(1), configuration), EndpointView.of(endpoints));
        return table.find("GET", "/").orElseThrow();
    }
}
