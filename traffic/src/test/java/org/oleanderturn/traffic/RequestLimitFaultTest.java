package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.RequestLimit;

/** Guards against windows over the limit under every fault of the requirements, alone and combined, in virtual time. */
final class RequestLimitFaultTest {
    private static final int SEEDS = Integer.getInteger("oleanderturn.limitSeeds", 1_000);
    private static final int FIRST_SEED = Integer.getInteger("oleanderturn.limitFirstSeed", 0);
    private static final int SIZE = 16;
    private static final int ZONES = 4;
    private static final long LOAD_START = 5 * LimitFleet.SECOND;
    private static final long LOAD_END = 22 * LimitFleet.SECOND;
    private static final RequestLimitTerms TERMS = new RequestLimitTerms(Duration.ofSeconds(5), 0.1, 20);
    private static final List<RequestLimit> LIMITS =
            List.of(new RequestLimit(100, 100), new RequestLimit(6, 6), new RequestLimit(1, 2));
    private static final List<Double> LOADS = List.of(450.0, 30.0, 0.6);
    private static final long SAMPLE_INTERVAL = 200 * LimitFleet.MILLISECOND;

    /** More than this at any time could exceed a limit over a window, as the stock uses a part of the overage. */
    private static final double MOST_SHARE = 1.06;

    private static final RequestLimit LOWERED = new RequestLimit(30, 30);

    private enum Fault {
        KILL_HOLDER,
        FREEZE_HOLDER,
        SUSPEND_HOLDER,
        CUT_HOLDER,
        CUT_ZONE,
        CUT_HALF_ZONE,
        CUT_ALL_ZONES,
        KILL_MANY,
        RESTART_ALL,
        LOSE_MESSAGES,
        DELAY_MESSAGES,
        DUPLICATE_MESSAGES,
        STEP_CLOCKS,
        LOWER_LIMIT,
        ADD_NODES,
        STOP_NODES
    }

    private double mostShare;
    private long loweredAt = Long.MAX_VALUE;

    @Test
    void shouldKeepEveryWindowWithinTheLimitWhenFaultsCombine() {
        Map<Integer, String> broken = new TreeMap<>();
        long runs = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            runs += play(seed, broken);
        }
        System.out.printf(
                "seeds %d, requests run %d, most rights %.3f, over the limit: %s%n", SEEDS, runs, mostShare, broken);
        assertThat(runs).isGreaterThan(SEEDS * 200L);
        assertThat(broken).isEmpty();
    }

    private int play(int seed, Map<Integer, String> broken) {
        loweredAt = Long.MAX_VALUE;
        LimitFleet fleet = new LimitFleet(SIZE, ZONES, TERMS, LIMITS, seed);
        Random draw = new Random(seed * 31L + 7);
        List<Fault> faults = new ArrayList<>();
        int number = 1 + seed % 4;
        for (int index = 0; index < number; index++) {
            Fault fault = index == 0
                    ? Fault.values()[seed % Fault.values().length]
                    : Fault.values()[draw.nextInt(Fault.values().length)];
            faults.add(fault);
            long time = LOAD_START + (long) (draw.nextDouble() * 9 * LimitFleet.SECOND);
            fleet.at(time, () -> inject(fleet, fault, draw));
        }
        fleet.at(LOAD_START, () -> {
            for (int organisation = 0; organisation < LOADS.size(); organisation++) {
                fleet.load(organisation, LOADS.get(organisation), LOAD_END);
            }
        });
        while (fleet.now < LOAD_END) {
            fleet.runUntil(fleet.now + SAMPLE_INTERVAL);
            double share = fleet.nodes.stream()
                    .filter(node -> node.isAlive && !node.isFrozen())
                    .mapToDouble(node -> node.coordinator.heldShare())
                    .sum();
            if (share > MOST_SHARE) {
                broken.put(seed, "rights of %.3f, %s".formatted(share, faults));
            }
            mostShare = Math.max(mostShare, share);
        }
        for (int organisation = 0; organisation < LIMITS.size(); organisation++) {
            check(fleet, organisation, seed, faults, broken);
        }
        return fleet.runs.size();
    }

    private void check(LimitFleet fleet, int organisation, int seed, List<Fault> faults, Map<Integer, String> broken) {
        long window = TERMS.window().toNanos();
        double bound = TERMS.bound(LIMITS.get(organisation));
        int most = fleet.mostRuns(organisation, window, 0, Long.MAX_VALUE);
        if (most > bound) {
            broken.put(seed, "organisation %d: %d of %.1f, %s".formatted(organisation, most, bound, faults));
        }
        if (organisation == 0 && loweredAt != Long.MAX_VALUE) {
            int later = fleet.mostRuns(0, window, loweredAt + window, Long.MAX_VALUE);
            if (later > TERMS.bound(LOWERED)) {
                broken.put(seed, "lowered: %d of %.1f, %s".formatted(later, TERMS.bound(LOWERED), faults));
            }
        }
    }

    // -- faults

    private void inject(LimitFleet fleet, Fault fault, Random draw) {
        long duration = LimitFleet.SECOND + (long) (draw.nextDouble() * 6 * LimitFleet.SECOND);
        LimitFleet.Node holder = fleet.nodes.get(draw.nextInt(ZONES));
        int zone = draw.nextInt(ZONES);
        switch (fault) {
            case KILL_HOLDER -> restartLater(fleet, holder, duration);
            case FREEZE_HOLDER -> fleet.freeze(holder, duration, false);
            case SUSPEND_HOLDER -> fleet.freeze(holder, duration, true);
            case CUT_HOLDER -> cut(fleet, List.of(holder), 100 + holder.index, duration);
            case CUT_ZONE -> cut(fleet, zone(fleet, zone), 1 + zone, duration);
            case CUT_HALF_ZONE -> {
                List<LimitFleet.Node> all = zone(fleet, zone);
                cut(fleet, all.subList(0, (all.size() + 1) / 2), 50 + zone, duration);
            }
            case CUT_ALL_ZONES -> {
                for (int each = 0; each < ZONES; each++) {
                    cut(fleet, zone(fleet, each), 1 + each, duration);
                }
            }
            case KILL_MANY ->
                fleet.nodes.stream()
                        .filter(_ -> draw.nextDouble() < 0.6)
                        .forEach(node -> restartLater(fleet, node, duration));
            case RESTART_ALL -> List.copyOf(fleet.nodes).forEach(node -> restartLater(fleet, node, 300_000_000));
            case LOSE_MESSAGES, DELAY_MESSAGES, DUPLICATE_MESSAGES -> disturb(fleet, fault, duration);
            case STEP_CLOCKS -> stepClocks(fleet, draw);
            case LOWER_LIMIT -> lower(fleet, draw);
            case ADD_NODES -> addNodes(fleet, draw);
            case STOP_NODES ->
                fleet.nodes.stream()
                        .filter(node -> node.isAlive && draw.nextDouble() < 0.4)
                        .forEach(fleet::leave);
        }
    }

    private static List<LimitFleet.Node> zone(LimitFleet fleet, int zone) {
        return fleet.nodes.stream().filter(node -> node.index % ZONES == zone).toList();
    }

    private static void restartLater(LimitFleet fleet, LimitFleet.Node node, long duration) {
        if (node.isAlive) {
            fleet.kill(node);
            int life = node.life;
            fleet.at(fleet.now + duration, () -> {
                if (node.life == life) {
                    fleet.start(node);
                }
            });
        }
    }

    private static void cut(LimitFleet fleet, List<LimitFleet.Node> nodes, int group, long duration) {
        nodes.forEach(node -> fleet.group[node.index] = group);
        fleet.at(fleet.now + duration, () -> nodes.forEach(node -> fleet.group[node.index] = 0));
    }

    private static void disturb(LimitFleet fleet, Fault fault, long duration) {
        switch (fault) {
            case LOSE_MESSAGES -> fleet.loss = 0.3;
            case DELAY_MESSAGES -> fleet.lateShare = 0.3;
            default -> fleet.duplication = 0.5;
        }
        fleet.at(fleet.now + duration, () -> {
            fleet.loss = 0;
            fleet.lateShare = 0;
            fleet.duplication = 0;
        });
    }

    private static void stepClocks(LimitFleet fleet, Random draw) {
        fleet.nodes.stream()
                .filter(_ -> draw.nextBoolean())
                .forEach(node -> node.wallOffset += (long) ((draw.nextDouble() - 0.5) * 20 * LimitFleet.SECOND));
    }

    private void lower(LimitFleet fleet, Random draw) {
        List<RequestLimit> lowered = List.of(LOWERED, LIMITS.get(1), LIMITS.get(2));
        Map<OrganisationName, RequestLimit> byName = fleet.byName(lowered);
        long last = fleet.now;
        for (LimitFleet.Node node : fleet.nodes) {
            long time = fleet.now + draw.nextLong(3 * LimitFleet.SECOND);
            last = Math.max(last, time);
            node.limits = byName;
            fleet.onNode(node, time - fleet.now, () -> node.coordinator.updateLimits(byName));
        }
        // A node that was frozen adopts the limit when it resumes, which takes up to the longest freeze.
        loweredAt = Math.min(loweredAt, last + 7 * LimitFleet.SECOND);
    }

    private static void addNodes(LimitFleet fleet, Random draw) {
        int number = 1 + draw.nextInt(SIZE);
        for (int index = 0; index < number && fleet.nodes.size() < 2 * SIZE; index++) {
            LimitFleet.Node node = fleet.add();
            node.limits = fleet.nodes.getFirst().limits;
            node.wallOffset = fleet.nodes.getFirst().wallOffset;
            fleet.start(node);
        }
    }
}
