package org.oleanderturn.traffic;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oleanderturn.model.NodeId;

/**
 * Compares the new version of a service's targets with the old one, by route, from what all nodes counted meanwhile.
 *
 * <p>Load it is meant for: 30 to 1,100 entries, of which each sends a tenth of 1 to 20 requests a second to the new version.
 *
 * <p>Invariant: the answers that the one node with the worst counts got are left out, so that one node never decides alone.
 * Stateless and thread safe.
 */
public final class RolloutJudgement {
    /** Fewer bad answers may be chance; far below the 50 from which the time of the rollback counts. */
    private static final int FEWEST_BAD_ANSWERS = 5;

    /** The probability of the count by chance; a rollout is judged some 40 times on each of several routes. */
    private static final double FALSE_ALARM = 1e-6;

    /** Below this probability, the canary goes on until more is known. */
    private static final double SUSPICION = 1e-3;

    /** Terms of a sum that decreases at least as fast as a geometric series from its first term on. */
    private static final int TERMS = 60;

    /** How many standard deviations the mean of the times must lie above that of the old version. */
    private static final double DEVIATIONS = 5;

    /** A version with slightly more bad answers costs less than a rollout that is not completed. */
    private static final double TOLERATED_FACTOR = 1.5;

    private static final double TOLERATED_EXCESS = 0.01;

    /** Fewer times say little where 3 of 100 runs take seven times as long. */
    private static final int FEWEST_TIMES = 40;

    private static final int FEWEST_TIMES_OF_A_ROUTE = 10;

    /** Times that are longer by less than half are put down to other load and colder caches; in doublings. */
    private static final double TOLERATED_DOUBLINGS = 0.585;

    /** With that many answers without a finding, a version of which a tenth is bad is found with 95 % probability. */
    private static final int FEWEST_ANSWERS = 60;

    private record NodeCounts(NodeId node, RolloutCounts next, RolloutCounts current) {}

    private RolloutJudgement() {}

    /**
     * Judges the new version.
     *
     * @param reports the newest report of each node
     * @param isTimeComparable whether the old version gets requests as well, so that its times are of the same moment
     */
    public static RolloutVerdict judge(Collection<RolloutReport> reports, boolean isTimeComparable) {
        Map<Integer, List<NodeCounts>> routes = byRoute(reports);
        double chance = routes.isEmpty() ? 1 : chance(routes.values());
        boolean isSlower = !routes.isEmpty() && isSlower(routes.values());
        for (List<NodeCounts> route : routes.values()) {
            chance = Math.min(chance, chance(List.of(route)));
            isSlower = isSlower || isSlower(List.of(route));
        }
        if (chance < FALSE_ALARM) {
            return RolloutVerdict.MORE_FAILURES;
        }
        if (isTimeComparable && isSlower) {
            return RolloutVerdict.SLOWER;
        }
        if (answersOfAllButOne(reports) < FEWEST_ANSWERS) {
            return RolloutVerdict.TOO_FEW;
        }
        return chance < SUSPICION ? RolloutVerdict.UNCLEAR : RolloutVerdict.NO_WORSE;
    }

    private static Map<Integer, List<NodeCounts>> byRoute(Collection<RolloutReport> reports) {
        Map<Integer, List<NodeCounts>> routes = new HashMap<>();
        for (RolloutReport report : reports) {
            for (RolloutRouteCounts counts : report.routes()) {
                routes.computeIfAbsent(counts.route(), _ -> new ArrayList<>())
                        .add(new NodeCounts(report.node(), counts.next(), counts.current()));
            }
        }
        return routes;
    }

    /**
     * Returns how likely the bad answers of the new version on the given routes are if it is like the old one; 1 if they are so
     * few that they do not matter. What is expected is summed by route, as routes differ in their usual failures.
     */
    private static double chance(Collection<List<NodeCounts>> routes) {
        NodeId worst = worstNode(routes);
        long bad = 0;
        double expected = 0;
        double tolerated = 0;
        for (List<NodeCounts> route : routes) {
            RolloutCounts current = current(route);
            if (current.answers() < FEWEST_BAD_ANSWERS) {
                continue;
            }
            RolloutCounts next = nextWithout(route, worst);
            // One bad answer is added, so that a version without any does not make the first one of the other decide.
            double currentShare = (current.bad() + 1.0) / (current.answers() + 1.0);
            bad += next.bad();
            expected += next.answers() * currentShare;
            tolerated += next.answers() * (currentShare * TOLERATED_FACTOR + TOLERATED_EXCESS);
        }
        return bad >= FEWEST_BAD_ANSWERS && bad > tolerated ? probabilityOfAtLeast(bad, expected) : 1;
    }

    /** Returns the node that got the most bad answers of the new version on the given routes. */
    private static NodeId worstNode(Collection<List<NodeCounts>> routes) {
        Map<NodeId, Long> bad = new HashMap<>();
        routes.forEach(route ->
                route.forEach(counts -> bad.merge(counts.node(), counts.next().bad(), Long::sum)));
        return Collections.max(bad.entrySet(), Map.Entry.comparingByValue()).getKey();
    }

    /** Returns the probability of at least the given count of rare events, of which some are expected (Poisson). */
    private static double probabilityOfAtLeast(long count, double expected) {
        double term = Math.exp(-expected);
        double below = 0;
        for (long number = 0; number < count; number++) {
            below += term;
            term *= expected / (number + 1);
        }
        // The difference from 1 loses digits where the rest is small; the first terms of the rest are exact.
        double rest = 0;
        for (long number = count; number < count + TERMS; number++) {
            rest += term;
            term *= expected / (number + 1);
        }
        return count > expected ? rest : 1 - below;
    }

    /** Returns whether the answers of the new version on the given routes take longer, compared route by route. */
    private static boolean isSlower(Collection<List<NodeCounts>> routes) {
        NodeId worst = slowestNode(routes);
        double times = 0;
        double difference = 0;
        double variance = 0;
        for (List<NodeCounts> route : routes) {
            RolloutCounts current = current(route);
            RolloutCounts next = nextWithout(route, worst);
            if (current.timed() < FEWEST_TIMES_OF_A_ROUTE || next.timed() < FEWEST_TIMES_OF_A_ROUTE) {
                continue;
            }
            double weight = next.timed();
            times += weight;
            difference += weight * (next.mean() - current.mean());
            variance += weight * weight * (next.varianceOfMean() + current.varianceOfMean());
        }
        return times >= FEWEST_TIMES
                && difference > TOLERATED_DOUBLINGS * times
                && difference > DEVIATIONS * Math.sqrt(variance);
    }

    /** Returns the node whose answers of the new version took the longest in excess of the usual. */
    private static NodeId slowestNode(Collection<List<NodeCounts>> routes) {
        Map<NodeId, Double> excess = new HashMap<>();
        for (List<NodeCounts> route : routes) {
            double usual = current(route).mean();
            route.forEach(counts -> excess.merge(
                    counts.node(),
                    (counts.next().mean() - usual) * counts.next().timed(),
                    Double::sum));
        }
        return Collections.max(excess.entrySet(), Map.Entry.comparingByValue()).getKey();
    }

    private static long answersOfAllButOne(Collection<RolloutReport> reports) {
        List<Long> answers = reports.stream()
                .map(report -> report.routes().stream()
                        .mapToLong(route -> route.next().answers())
                        .sum())
                .sorted()
                .toList();
        return answers.stream()
                .limit(Math.max(0, answers.size() - 1))
                .mapToLong(Long::longValue)
                .sum();
    }

    private static RolloutCounts current(List<NodeCounts> nodes) {
        return nodes.stream().map(NodeCounts::current).reduce(RolloutCounts.none(), RolloutCounts::plus);
    }

    private static RolloutCounts nextWithout(List<NodeCounts> nodes, NodeId excluded) {
        return nodes.stream()
                .filter(counts -> !counts.node().equals(excluded))
                .map(NodeCounts::next)
                .reduce(RolloutCounts.none(), RolloutCounts::plus);
    }
}
