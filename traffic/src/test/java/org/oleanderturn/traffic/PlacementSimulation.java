package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ServiceName;

/**
 * Entries and targets of one service in six zones of three regions, in virtual time: choices by the product's balancers,
 * slots by its queue, load reports at the product's intervals and with each answer. The demand of each zone varies by 0.55
 * around its mean. Used by one thread.
 */
final class PlacementSimulation {
    private static final int ZONES = 6;
    private static final int ZONES_PER_REGION = 2;
    private static final int SLOTS = 6;
    private static final int REFUSALS = 4;
    private static final double[] SPEEDS = {0.5, 0.75, 1, 1.25, 1.5};
    private static final double WAVE = 0.55;
    private static final double WAVE_SECONDS = 15;
    private static final double LONG_RUN_SHARE = 0.03;
    private static final double LONG_RUN_FACTOR = 7;
    private static final double SHORTEST_RUN = 45e6;
    private static final double LONGEST_RUN = 135e6;
    private static final double MEAN_RUN = 90e6 * (1 + LONG_RUN_SHARE * (LONG_RUN_FACTOR - 1));
    private static final double TARGET_LATENCY = 408e6;
    private static final double TIME_LIMIT = 1_020e6;
    private static final double WAIT_SHARE = 0.6;
    private static final double BYTES = 2_500;
    private static final double SECOND = 1e9;
    private static final double WARM_SECONDS = 5;
    private static final int ANNOUNCED_MILLISECONDS_PER_PEER = 10;
    private static final int SHORTEST_ANNOUNCEMENT_MILLISECONDS = 200;
    private static final double EVEN_LOAD_FACTOR = 1.35;
    private static final int ROUNDS_PER_CROSS_REGION_SEND = 15;

    /**
     * What is compared.
     *
     * @param reportLife how long the even balancer trusts a report, in nanoseconds; 0 for the least latency
     * @param passedOn how many reports of others an answer carries
     * @param isForwarding whether a guard without a free slot sends a request on once
     * @param subset how many targets of each zone an entry uses
     */
    record Design(String name, double reportLife, int passedOn, boolean isForwarding, int subset) {}

    private record Event(long at, long sequence, Runnable action) {}

    private static final class Node {
        private final int number;
        private final Endpoint endpoint;
        private final double speed;
        private final SlotQueue queue;
        private final TargetLoadTracker loads;
        private TargetPlacement placement;
        private List<Endpoint> view = List.of();
        private double slowness;
        private long arrivals;
        private LoadReport lastSent = new LoadReport(0, 0, 0, 0);
        private LoadReport lastSentToAll = new LoadReport(0, 0, 0, 0);
        private int rounds;

        Node(int number, Endpoint endpoint, double speed, SlotQueue queue, TargetLoadTracker loads) {
            this.number = number;
            this.endpoint = endpoint;
            this.speed = speed;
            this.queue = queue;
            this.loads = loads;
            queue.open(SLOTS);
        }

        LoadReport report() {
            SlotState state = queue.state();
            return new LoadReport(state.slots(), state.running(), state.waiting(), (int) Math.round(slowness * 100));
        }

        boolean isFree() {
            return queue.state().running() < SLOTS;
        }
    }

    private final class Request {
        private final Node entry;
        private final long arrived = now;
        private final boolean isMeasured = now >= WARM_SECONDS * SECOND;
        private final Set<NodeId> excluded = new HashSet<>();
        private int refusals;

        Request(Node entry) {
            this.entry = entry;
        }

        void send() {
            Optional<Endpoint> chosen = entry.placement.choose(entry.view, excluded, BYTES);
            if (chosen.isEmpty() || refusals >= REFUSALS) {
                failed += isMeasured ? 1 : 0;
                failedWhileFree += isMeasured && isFreeInRegion(entry) ? 1 : 0;
                return;
            }
            Node target = byNode.get(chosen.get().node());
            if (isMeasured) {
                ages.add((now - entry.loads.load(target.endpoint.node()).measuredNanoseconds()) / 1e6);
                recordDistance(target);
            }
            excluded.add(target.endpoint.node());
            entry.loads.recordSent(target.endpoint.node());
            at(delay(entry, target), () -> offer(target, target));
        }

        private void recordDistance(Node target) {
            Locality.Distance distance = entry.endpoint.locality().distanceTo(target.endpoint.locality());
            choices.merge(distance, 1L, Long::sum);
            int second = (int) (now / SECOND);
            sentBySecond[second]++;
            crossBySecond[second] += distance == Locality.Distance.OTHER_REGION ? 1 : 0;
        }

        private void offer(Node target, Node through) {
            if (design.isForwarding() && target == through && !target.isFree()) {
                Optional<Node> neighbour = target.placement
                        .choose(target.view, Set.of(target.endpoint.node()), BYTES)
                        .map(endpoint -> byNode.get(endpoint.node()))
                        .filter(node -> target.loads.hasFreeSlot(node.endpoint.node()));
                if (neighbour.isPresent()) {
                    target.loads.recordSent(neighbour.get().endpoint.node());
                    messages++;
                    at(delay(target, neighbour.get()), () -> offer(neighbour.get(), target));
                    return;
                }
            }
            target.arrivals += isMeasured ? 1 : 0;
            long maximumWait = (long) ((TIME_LIMIT - (now - arrived)) * WAIT_SHARE);
            long untilTarget = (long) TARGET_LATENCY - (now - arrived);
            boolean isFreeElsewhere = isMeasured && !target.isFree() && isFreeInRegion(entry);
            waitedWhileFree += isFreeElsewhere ? 1 : 0;
            double expected = target.slowness == 0 ? 0.33 : target.slowness;
            SlotTicket ticket = target.queue.request(SlotRequest.within(
                    Duration.ofNanos((long) TARGET_LATENCY),
                    2,
                    Duration.ofNanos((long) (expected * TARGET_LATENCY)),
                    Duration.ofNanos(untilTarget),
                    Duration.ofNanos(maximumWait)));
            at(maximumWait, () -> target.queue.withdraw(ticket));
            ticket.onDecision(decision -> {
                if (decision instanceof SlotDecision.Granted) {
                    run(target, through, ticket);
                } else {
                    refuse(target, through, isFreeElsewhere);
                }
            });
        }

        private void run(Node target, Node through, SlotTicket ticket) {
            double base = SHORTEST_RUN + random.nextDouble() * (LONGEST_RUN - SHORTEST_RUN);
            double factor = random.nextDouble() < LONG_RUN_SHARE ? LONG_RUN_FACTOR : 1;
            long run = (long) (base * factor / target.speed);
            at(run, () -> {
                double ratio = Math.min(4, run / TARGET_LATENCY);
                target.slowness = target.slowness == 0 ? ratio : target.slowness * 0.8 + ratio * 0.2;
                target.queue.release(ticket);
                answer(target, through, () -> {
                    if (isMeasured) {
                        latencies.add((now - arrived) / 1e6);
                    }
                });
            });
        }

        private void refuse(Node target, Node through, boolean isFreeElsewhere) {
            refused += isMeasured ? 1 : 0;
            refusedWhileFree += isFreeElsewhere ? 1 : 0;
            answer(target, through, () -> {
                refusals++;
                send();
            });
        }

        /** Returns an answer by the way that the request took; it carries loads to each node that it passes. */
        private void answer(Node target, Node through, Runnable done) {
            Node next = through == target ? entry : through;
            LoadReport report = target.report();
            List<AgedReport> others =
                    target.loads.newest(design.passedOn() == 0 ? Set.of() : byNode.keySet(), design.passedOn());
            long delay = delay(target, next);
            at(delay, () -> {
                next.loads.recordEnded(target.endpoint.node());
                next.loads.recordReport(target.endpoint.node(), report);
                for (AgedReport other : others) {
                    next.loads.recordPassedOn(other.node(), other.report(), other.ageNanoseconds());
                }
                if (next == entry && through == target) {
                    done.run();
                } else {
                    answerThrough(next, done);
                }
            });
        }

        private void answerThrough(Node through, Runnable done) {
            LoadReport report = through.report();
            at(delay(through, entry), () -> {
                entry.loads.recordEnded(through.endpoint.node());
                entry.loads.recordReport(through.endpoint.node(), report);
                done.run();
            });
        }
    }

    private final Design design;
    private final double utilization;
    private final double seconds;
    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private final List<Node> nodes = new ArrayList<>();
    private final Map<NodeId, Node> byNode = new HashMap<>();
    private final List<Double> ages = new ArrayList<>();
    private final List<Double> latencies = new ArrayList<>();
    private final Map<Locality.Distance, Long> choices = new EnumMap<>(Locality.Distance.class);
    private final long[] sentBySecond;
    private final long[] crossBySecond;
    private long now;
    private long sequence;
    private long messages;
    private long refused;
    private long refusedWhileFree;
    private long failed;
    private long failedWhileFree;
    private long waitedWhileFree;

    PlacementSimulation(Design design, int size, double utilization, double seconds, long seed) {
        this.design = design;
        this.utilization = utilization;
        this.seconds = seconds;
        this.random = new Random(seed);
        this.sentBySecond = new long[(int) seconds + 10];
        this.crossBySecond = new long[(int) seconds + 10];
        for (int number = 0; number < size; number++) {
            nodes.add(node(number));
        }
        nodes.forEach(node -> byNode.put(node.endpoint.node(), node));
        nodes.forEach(this::equip);
    }

    private Node node(int number) {
        int zone = number % ZONES;
        Endpoint endpoint = new Endpoint(
                NodeId.of("node-" + number),
                Address.of("127.0.0.1", 1),
                Locality.of("region-" + zone / ZONES_PER_REGION, "zone-" + zone),
                ServiceName.of("portal"),
                SLOTS,
                EndpointState.READY,
                1);
        double speed = SPEEDS[number / ZONES % SPEEDS.length];
        return new Node(number, endpoint, speed, SlotQueue.of(() -> now), TargetLoadTracker.of(() -> now));
    }

    private void equip(Node node) {
        Locality locality = node.endpoint.locality();
        node.placement = design.reportLife() == 0
                ? LeastLatencyBalancer.of(node.loads, locality, () -> now, random)
                : EvenLoadBalancer.of(node.loads, locality, () -> now, random, design.reportLife());
        List<Endpoint> view = new ArrayList<>();
        for (int zone = 0; zone < ZONES; zone++) {
            int members = zone;
            view.addAll(nodes.stream()
                    .filter(other -> other.number % ZONES == members)
                    .sorted(Comparator.comparingInt(other -> (other.number * 31 + node.number * 17) * 0x9E3779B1))
                    .limit(design.subset())
                    .map(other -> other.endpoint)
                    .toList());
        }
        node.view = List.copyOf(view);
        at(random.nextInt(SHORTEST_ANNOUNCEMENT_MILLISECONDS) * 1_000_000L, () -> announce(node));
    }

    /** Plays the course and returns its figures. */
    PlacementFigures play() {
        for (int zone = 0; zone < ZONES; zone++) {
            arrive(zone);
        }
        while (!events.isEmpty() && now < (seconds + 3) * SECOND) {
            Event event = events.remove();
            now = event.at();
            event.action().run();
        }
        long chosen = choices.values().stream().mapToLong(Long::longValue).sum();
        double highest = 0;
        for (int second = (int) WARM_SECONDS; second < seconds; second++) {
            highest = Math.max(highest, (double) crossBySecond[second] / Math.max(1, sentBySecond[second]));
        }
        return new PlacementFigures(
                busiest(),
                ages.size(),
                refusedWhileFree,
                refused,
                failed,
                failedWhileFree,
                (double) waitedWhileFree / chosen,
                percentile(ages, 0.5),
                percentile(ages, 0.99),
                messages / seconds / nodes.size(),
                share(Locality.Distance.OTHER_REGION, chosen),
                highest,
                share(Locality.Distance.SAME_REGION, chosen),
                percentile(latencies, 0.99));
    }

    private double share(Locality.Distance distance, long chosen) {
        return (double) choices.getOrDefault(distance, 0L) / chosen;
    }

    /** Returns the highest ratio of a target's arrivals to the mean of the targets of its speed. */
    private double busiest() {
        double busiest = 0;
        for (double speed : SPEEDS) {
            List<Node> equal =
                    nodes.stream().filter(node -> node.speed == speed).toList();
            double mean =
                    equal.stream().mapToLong(node -> node.arrivals).average().orElseThrow();
            double most = equal.stream().mapToLong(node -> node.arrivals).max().orElseThrow();
            busiest = Math.max(busiest, most / mean);
        }
        return busiest;
    }

    private void arrive(int zone) {
        double capacity = nodes.stream().mapToDouble(node -> node.speed).sum() * SLOTS / MEAN_RUN;
        double highest = capacity * utilization / ZONES * (1 + WAVE);
        double phase = 2 * Math.PI * zone / ZONES;
        double demand = (1 + WAVE * Math.sin(2 * Math.PI * now / SECOND / WAVE_SECONDS + phase)) / (1 + WAVE);
        if (now > 0 && random.nextDouble() < demand) {
            int members = (nodes.size() - zone + ZONES - 1) / ZONES;
            new Request(nodes.get(random.nextInt(members) * ZONES + zone)).send();
        }
        if (now < seconds * SECOND) {
            at(1 + (long) (-Math.log(1 - random.nextDouble()) / highest), () -> arrive(zone));
        }
    }

    /** Announces the load as a node does: when it has changed, to its region, and rarely to all. */
    private void announce(Node node) {
        node.rounds++;
        boolean isForAll = node.rounds % ROUNDS_PER_CROSS_REGION_SEND == 0;
        LoadReport report = node.report();
        if (!report.isSimilarTo(isForAll ? node.lastSentToAll : node.lastSent)) {
            node.lastSent = report;
            node.lastSentToAll = isForAll ? report : node.lastSentToAll;
            for (Node other : nodes) {
                boolean isNear = other.endpoint
                        .locality()
                        .region()
                        .equals(node.endpoint.locality().region());
                if (other != node && (isForAll || isNear)) {
                    messages++;
                    at(delay(node, other), () -> other.loads.recordReport(node.endpoint.node(), report));
                }
            }
        }
        long interval =
                Math.max(SHORTEST_ANNOUNCEMENT_MILLISECONDS, (long) nodes.size() * ANNOUNCED_MILLISECONDS_PER_PEER);
        double factor = design.reportLife() == 0 ? 1 : EVEN_LOAD_FACTOR;
        at(Math.round(interval * factor * 1e6), () -> announce(node));
    }

    private boolean isFreeInRegion(Node entry) {
        return nodes.stream()
                .anyMatch(node -> node.isFree()
                        && node.endpoint
                                .locality()
                                .region()
                                .equals(entry.endpoint.locality().region()));
    }

    private long delay(Node from, Node to) {
        double milliseconds = switch (from.endpoint.locality().distanceTo(to.endpoint.locality())) {
            case SAME_ZONE -> from == to ? 0 : 0.3;
            case SAME_REGION -> 0.9;
            case OTHER_REGION -> 12;
        };
        return (long) (milliseconds * 1e6);
    }

    private void at(long delay, Runnable action) {
        events.add(new Event(now + delay, sequence++, action));
    }

    private static double percentile(List<Double> values, double share) {
        return values.stream()
                .sorted()
                .skip((long) (values.size() * share))
                .findFirst()
                .orElseThrow();
    }
}
