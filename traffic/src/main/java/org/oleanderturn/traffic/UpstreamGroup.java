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
    private static final long LATENCY_CHECK_INTERVAL_NANOSECONDS = 100_000_000;

    private final List<Endpoint> endpoints;
    private final Locality ownLocality;
    private final Upstream[] upstreams;
    private final Upstream[][] localityLevels;
    private final Map<NodeId, Upstream> byNode;
    private final AtomicReference<Map<NodeId, OutlierEjection.Ejection>> ejections;
    private final AtomicReference<Double> medianLatency;
    private final AtomicLong nextLatencyCheckNanoseconds;

    private UpstreamGroup(List<Endpoint> endpoints, Locality own, UpstreamGroup former, long now) {
        this.endpoints = endpoints;
        this.ownLocality = own;
        this.byNode = new HashMap<>();
        this.ejections = former.ejections;
        this.medianLatency = former.medianLatency;
        this.nextLatencyCheckNanoseconds = former.nextLatencyCheckNanoseconds;
        for (Endpoint endpoint : endpoints) {
            if (endpoint.isReady()) {
                byNode.put(endpoint.node(), former.keepOrCreate(endpoint, now));
            }
        }
        this.upstreams = byNode.values().toArray(Upstream[]::new);
        this.localityLevels = localityLevels(own, upstreams);
    }

    private UpstreamGroup(Locality own, long now) {
        this.endpoints = List.of();
        this.ownLocality = own;
        this.byNode = Map.of();
        this.ejections = new AtomicReference<>(Map.of());
        this.medianLatency = new AtomicReference<>(1.0);
        this.nextLatencyCheckNanoseconds = new AtomicLong(now);
        this.upstreams = new Upstream[0];
        this.localityLevels = localityLevels(own, upstreams);
    }

    static UpstreamGroup empty(Locality own, long now) {
        return new UpstreamGroup(own, now);
    }

    UpstreamGroup rebuild(List<Endpoint> replacement, Locality locality, long now) {
        UpstreamGroup next = new UpstreamGroup(replacement, locality, this, now);
        ejections.updateAndGet(held -> {
            Map<NodeId, OutlierEjection.Ejection> kept = new HashMap<>(held);
            kept.keySet().retainAll(replacement.stream().map(Endpoint::node).toList());
            return Map.copyOf(kept);
        });
        return next;
    }

    // -- queries

    /** Returns whether this group was built from the very same list, which a routing table shares among its entries. */
    @SuppressWarnings("ReferenceEquality")
    boolean isBuiltFrom(List<Endpoint> candidates, Locality locality) {
        return endpoints == candidates && ownLocality.equals(locality);
    }

    Upstream[] upstreams() {
        return upstreams;
    }

    Upstream[][] localityLevels() {
        return localityLevels;
    }

    Upstream find(NodeId node) {
        return byNode.get(node);
    }

    AtomicReference<Map<NodeId, OutlierEjection.Ejection>> ejections() {
        return ejections;
    }

    double medianLatency() {
        return medianLatency.get();
    }

    // -- commands

    void updateMedianLatency(double latency) {
        medianLatency.set(latency);
    }

    /** Claims the next comparison of all upstreams; true for one caller in each pause. */
    boolean tryClaimLatencyCheck(long now) {
        long due = nextLatencyCheckNanoseconds.get();
        return due - now <= 0
                && nextLatencyCheckNanoseconds.compareAndSet(due, now + LATENCY_CHECK_INTERVAL_NANOSECONDS);
    }

    private Upstream keepOrCreate(Endpoint endpoint, long now) {
        Upstream known = byNode.get(endpoint.node());
        return known != null && known.endpoint().equals(endpoint) ? known : Upstream.of(endpoint, now);
    }

    private static Upstream[][] localityLevels(Locality own, Upstream[] upstreams) {
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
