package org.oleanderturn.traffic;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

/**
 * The ready endpoints of one service, sorted by distance from this entry.
 *
 * <p>Invariant: built once for each list of endpoints and holds only ready ones; upstreams seen before keep what was seen
 * of them. Thread safe.
 */
final class UpstreamGroup {
    private static final long WEIGH_PAUSE_NANOSECONDS = 100_000_000;

    private final List<Endpoint> endpoints;
    private final Locality own;
    private final Upstream[] upstreams;
    private final Upstream[][] levels;
    private final Map<NodeId, Upstream> byNode;
    private final AtomicReference<Map<NodeId, OutlierEjection.Ejection>> ejected;
    private final AtomicReference<Double> typicalLatency;
    private final AtomicLong weighNanoseconds;

    private UpstreamGroup(List<Endpoint> endpoints, Locality own, UpstreamGroup former, long now) {
        this.endpoints = endpoints;
        this.own = own;
        this.byNode = new HashMap<>();
        this.ejected = former.ejected;
        this.typicalLatency = former.typicalLatency;
        this.weighNanoseconds = former.weighNanoseconds;
        for (Endpoint endpoint : endpoints) {
            if (endpoint.isReady()) {
                byNode.put(endpoint.node(), former.keepOrCreate(endpoint, now));
            }
        }
        this.upstreams = byNode.values().toArray(Upstream[]::new);
        this.levels = levels(own, upstreams);
    }

    private UpstreamGroup(Locality own, long now) {
        this.endpoints = List.of();
        this.own = own;
        this.byNode = Map.of();
        this.ejected = new AtomicReference<>(Map.of());
        this.typicalLatency = new AtomicReference<>(1.0);
        this.weighNanoseconds = new AtomicLong(now);
        this.upstreams = new Upstream[0];
        this.levels = levels(own, upstreams);
    }

    static UpstreamGroup empty(Locality own, long now) {
        return new UpstreamGroup(own, now);
    }

    UpstreamGroup of(List<Endpoint> replacement, Locality locality, long now) {
        UpstreamGroup next = new UpstreamGroup(replacement, locality, this, now);
        ejected.updateAndGet(held -> {
            Map<NodeId, OutlierEjection.Ejection> kept = new HashMap<>(held);
            kept.keySet().retainAll(replacement.stream().map(Endpoint::node).toList());
            return Map.copyOf(kept);
        });
        return next;
    }

    // -- queries

    /** Returns whether this group was built from the very same list, which a routing table shares among its entries. */
    @SuppressWarnings("ReferenceEquality")
    boolean isFor(List<Endpoint> candidates, Locality locality) {
        return endpoints == candidates && own.equals(locality);
    }

    Upstream[] upstreams() {
        return upstreams;
    }

    Upstream[][] levels() {
        return levels;
    }

    Upstream find(NodeId node) {
        return byNode.get(node);
    }

    AtomicReference<Map<NodeId, OutlierEjection.Ejection>> ejected() {
        return ejected;
    }

    double typicalLatency() {
        return typicalLatency.get();
    }

    // -- commands

    void learnTypicalLatency(double latency) {
        typicalLatency.set(latency);
    }

    /** Claims the next comparison of all upstreams; true for one caller in each pause. */
    boolean tryClaimWeighing(long now) {
        long due = weighNanoseconds.get();
        return due - now <= 0 && weighNanoseconds.compareAndSet(due, now + WEIGH_PAUSE_NANOSECONDS);
    }

    private Upstream keepOrCreate(Endpoint endpoint, long now) {
        Upstream known = byNode.get(endpoint.node());
        return known != null && known.endpoint().equals(endpoint) ? known : Upstream.of(endpoint, now);
    }

    private static Upstream[][] levels(Locality own, Upstream[] upstreams) {
        Map<Locality.Distance, List<Upstream>> sorted = new EnumMap<>(Locality.Distance.class);
        for (Upstream upstream : upstreams) {
            Locality.Distance distance = own.distanceTo(upstream.endpoint().locality());
            sorted.computeIfAbsent(distance, missing -> new ArrayList<>()).add(upstream);
        }
        return sorted.values().stream()
                .map(level -> level.toArray(Upstream[]::new))
                .toArray(Upstream[][]::new);
    }
}
