package org.oleanderturn.traffic;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

/**
 * How many nodes share the limits, which of them are holders, and whether this node may use its right yet.
 *
 * <p>Invariants: the number of members rises at once and falls only after every right that was given under it has ended; a
 * node uses its right only when it has run for longer than that and has known a steady number of members for a while.
 * {@link #update} must be called by one thread at a time; the queries are thread safe.
 */
final class LimitMembership {
    /**
     * How many nodes of a zone share a holder at most. With 24 a fleet of 1,100 nodes has 48 holders instead of 44, which have so
     * little of a small limit that they send a tenth more than those of 89 nodes, mostly to borrow.
     */
    private static final int NODES_PER_HOLDER = 25;

    /** Longer than a right that is given, so that those of an earlier process of this node, or of one that left, have ended. */
    private static final long SETTLING_NANOSECONDS = 3_000_000_000L;

    /**
     * For so long the number of members has to be unchanged: gossip reaches all nodes sooner. After a restart of all nodes,
     * members come one after another for seconds, and no request is granted until then.
     */
    private static final long STEADY_NANOSECONDS = 1_500_000_000L;

    /**
     * The share of members that may be unreachable when a node begins to use its right: a few lost hosts must not keep all
     * others from serving after a restart of the fleet. Only nodes with a new name are unknown to these members, so that the
     * rights of all exceed the whole by the product of both shares at most.
     */
    private static final double UNREACHABLE_SHARE = 0.1;

    private record Count(long nanoseconds, int members) {}

    private final NodeId self;
    private final Locality locality;
    private final LongSupplier nanoseconds;
    private final Deque<Count> counts = new ArrayDeque<>();
    private final long startedNanoseconds;
    private long steadySinceNanoseconds;
    private volatile int members = 1;
    private volatile boolean isActive;
    private volatile Optional<LimitHindrance> hindrance = Optional.of(LimitHindrance.JUST_STARTED);
    private volatile List<NodeId> holders = List.of();
    private volatile List<NodeId> nearHolders = List.of();
    private volatile List<NodeId> farHolders = List.of();
    private volatile NodeId preferred;

    LimitMembership(NodeId self, Locality locality, LongSupplier nanoseconds) {
        this.self = self;
        this.locality = locality;
        this.nanoseconds = nanoseconds;
        this.preferred = self;
        this.startedNanoseconds = nanoseconds.getAsLong();
        this.steadySinceNanoseconds = startedNanoseconds;
    }

    // -- queries

    /** Returns the number of nodes that the limits are divided by. */
    int members() {
        return members;
    }

    /** Returns whether this node may use its own right or delegate it. */
    boolean isActive() {
        return isActive;
    }

    /** Returns what keeps this node from using its right; empty once it uses it. */
    Optional<LimitHindrance> hindrance() {
        return hindrance;
    }

    /** Returns the reachable holders, the nearest first; this node may be among them. */
    List<NodeId> holders() {
        return holders;
    }

    /** Returns the reachable holders of this node's region. */
    List<NodeId> nearHolders() {
        return nearHolders;
    }

    /** Returns the reachable holders of other regions. */
    List<NodeId> farHolders() {
        return farHolders;
    }

    /** Returns the holder of this node. */
    NodeId preferred() {
        return preferred;
    }

    // -- commands

    /**
     * Takes the known members, this one included.
     *
     * @param isComplete whether nothing tells of members that are not known yet
     */
    void update(List<LimitMember> known, boolean isComplete) {
        long now = nanoseconds.getAsLong();
        int previous = counts.isEmpty() ? 0 : counts.peekLast().members();
        if (known.size() != previous || !isComplete) {
            steadySinceNanoseconds = now;
        }
        counts.add(new Count(now, known.size()));
        while (counts.peekFirst().nanoseconds() < now - SETTLING_NANOSECONDS) {
            counts.removeFirst();
        }
        members = counts.stream().mapToInt(Count::members).max().orElse(1);
        long unreachable =
                known.stream().filter(member -> !member.isReachable()).count();
        boolean isSettled = now - startedNanoseconds > SETTLING_NANOSECONDS;
        boolean isSteady = now - steadySinceNanoseconds > STEADY_NANOSECONDS;
        boolean isReachable = unreachable <= UNREACHABLE_SHARE * known.size();
        if (isSettled && isSteady && isReachable) {
            isActive = true;
        }
        hindrance = isActive ? Optional.empty() : Optional.of(hindrance(isSettled, isComplete, isSteady));
        chooseHolders(known);
    }

    private static LimitHindrance hindrance(boolean isSettled, boolean isComplete, boolean isSteady) {
        if (!isSettled) {
            return LimitHindrance.JUST_STARTED;
        }
        if (!isComplete) {
            return LimitHindrance.MEMBERS_MISSING;
        }
        return isSteady ? LimitHindrance.MEMBERS_UNREACHABLE : LimitHindrance.MEMBERS_CHANGING;
    }

    private void chooseHolders(List<LimitMember> known) {
        Map<Locality, List<NodeId>> byZone = new TreeMap<>(Comparator.comparingInt(this::distance)
                .thenComparing(zone -> zone.zone().value()));
        known.stream()
                .filter(member -> member.isReachable() && member.isStaying())
                .sorted(Comparator.comparing(LimitMember::node))
                .forEach(member -> byZone.computeIfAbsent(member.locality(), _ -> new ArrayList<>())
                        .add(member.node()));
        List<NodeId> near = new ArrayList<>();
        List<NodeId> far = new ArrayList<>();
        NodeId mine = self;
        for (Map.Entry<Locality, List<NodeId>> zone : byZone.entrySet()) {
            List<NodeId> nodes = zone.getValue();
            List<NodeId> ofZone = nodes.subList(0, (nodes.size() + NODES_PER_HOLDER - 1) / NODES_PER_HOLDER);
            (zone.getKey().region().equals(locality.region()) ? near : far).addAll(ofZone);
            if (zone.getKey().equals(locality)) {
                mine = assigned(nodes, ofZone);
            }
        }
        preferred = mine;
        nearHolders = List.copyOf(near);
        farHolders = List.copyOf(far);
        near.addAll(far);
        holders = List.copyOf(near);
    }

    private int distance(Locality zone) {
        if (zone.equals(locality)) {
            return 0;
        }
        return zone.region().equals(locality.region()) ? 1 : 2;
    }

    /**
     * Returns the holder of this node among those of its zone. No holder has more than its part of the nodes: with an uneven
     * spread the busiest sends more than its bound, and the smallest has less than one token of small limits.
     */
    private NodeId assigned(List<NodeId> nodes, List<NodeId> ofZone) {
        int room = (nodes.size() + ofZone.size() - 1) / ofZone.size();
        Map<NodeId, Integer> free = new HashMap<>();
        ofZone.forEach(holder -> free.put(holder, room - 1));
        if (free.containsKey(self)) {
            return self;
        }
        for (NodeId node : nodes.subList(ofZone.size(), nodes.size())) {
            NodeId holder = nearest(node, ofZone.stream().filter(candidate -> free.get(candidate) > 0));
            if (node.equals(self)) {
                return holder;
            }
            free.merge(holder, -1, Integer::sum);
        }
        // A node that drains is not among those that the holders are divided by.
        return nearest(self, ofZone.stream());
    }

    private static NodeId nearest(NodeId node, Stream<NodeId> candidates) {
        return candidates
                .max(Comparator.comparingInt(candidate -> affinity(candidate, node)))
                .orElse(node);
    }

    /** A node keeps its holder when others come and go, as far as that one has room. */
    private static int affinity(NodeId holder, NodeId node) {
        int hash = 31 * holder.value().hashCode() + node.value().hashCode();
        // Names that differ in a digit have hashes that differ little.
        int mixed = (hash ^ (hash >>> 16)) * 0x85ebca6b;
        mixed = (mixed ^ (mixed >>> 13)) * 0xc2b2ae35;
        return mixed ^ (mixed >>> 16);
    }
}
