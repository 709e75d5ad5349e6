package org.oleanderturn.membership;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.collection.HashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.NodeId;

/** Compares the bytes sent by the nodes of a large cluster with {@link GossipCost} and with the limit for one node. */
final class GossipCostTest {
    private static final int MEMBERS = 1_100;
    private static final int ZONES = 7;
    private static final int RESTARTS = 4;
    private static final double RESTARTS_PER_DAY = 90;
    private static final double BYTES_PER_SECOND = 21_000;
    private static final long MEASURED_MILLISECONDS = 8_000;
    private static final double SECONDS_PER_DAY = 86_400;

    private final GossipSettings settings = GossipSettings.defaults();
    private final FakeNetwork network = new FakeNetwork(new Random(3), settings);

    private static String zoneOf(int index) {
        return "zone-" + index % ZONES;
    }

    private static MemberRecord record(int index, long incarnation) {
        String region = index % ZONES < 4 ? "south" : "north";
        return FakeNetwork.record("node-" + index, region, zoneOf(index), incarnation);
    }

    private void startAll() {
        HashMap<NodeId, MemberEntry> entries = HashMap.empty();
        for (int index = 0; index < MEMBERS; index++) {
            MemberRecord record = record(index, 100);
            entries = entries.put(record.node(), MemberEntry.of(record, network.nowMilliseconds));
        }
        for (NodeId node : entries.keySet()) {
            network.start(MemberTable.of(node, entries));
        }
    }

    private List<Double> measure(long milliseconds, Runnable action) {
        network.members.values().forEach(member -> member.sentBytes = 0);
        action.run();
        network.run(milliseconds, () -> {});
        List<Double> rates = new ArrayList<>();
        network.running().forEach(member -> rates.add(member.sentBytes * 1_000.0 / milliseconds));
        rates.sort(null);
        return rates;
    }

    @Test
    void shouldStayWithinByteLimitWhenClusterIsSteadyAndWhenMembersRestart() {
        startAll();
        network.run(2_000, () -> {});
        List<Double> steady = measure(MEASURED_MILLISECONDS, () -> {});
        print("steady state", steady);
        assertThat(steady.getLast()).isLessThan(BYTES_PER_SECOND);
        assertThat(steady.get(MEMBERS / 2)).isLessThan(2 * expected(0));
        List<Double> restarting = measure(MEASURED_MILLISECONDS, this::restartSome);
        print("restarts", restarting);
        double restartsPerDay = RESTARTS * SECONDS_PER_DAY * 1_000 / MEASURED_MILLISECONDS;
        assertThat(restarting.get(MEMBERS / 2)).isLessThan(2 * expected(restartsPerDay));
        assertThat(restarting.getLast()).isLessThan(BYTES_PER_SECOND);
        assertThat(restartsPerDay).isGreaterThan(RESTARTS_PER_DAY);
    }

    private void restartSome() {
        for (int index = 0; index < RESTARTS; index++) {
            network.start(MemberTable.of(record(index, 200), network.nowMilliseconds))
                    .gossip
                    .join(List.of(record(index + ZONES, 0).controlAddress()));
        }
    }

    private double expected(double restartsPerDay) {
        return GossipCost.expectedBytesPerSecond(settings, MEMBERS, restartsPerDay);
    }

    private void print(String name, List<Double> rates) {
        System.out.printf(
                "gossip bytes/s per node, %s: median %.0f, p99 %.0f, maximum %.0f; expected %.0f at %s restarts/day%n",
                name,
                rates.get(MEMBERS / 2),
                rates.get(MEMBERS * 99 / 100),
                rates.getLast(),
                expected(RESTARTS_PER_DAY),
                RESTARTS_PER_DAY);
    }

    @Test
    void shouldGrowSlowlyWhenClusterGrows() {
        double smallCluster = GossipCost.expectedBytesPerSecond(settings, 28, RESTARTS_PER_DAY);
        double largeCluster = expected(RESTARTS_PER_DAY);
        assertThat(largeCluster).isLessThan(BYTES_PER_SECOND / 2);
        assertThat(largeCluster).isLessThan(2 * smallCluster);
    }
}
