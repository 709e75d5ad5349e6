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
 * The ready endpoints of one service, grouped by distance from this entry.
 *
 * <p>Invariant: built once for each list of endpoints; an upstream that was known keeps its metrics. Thread safe.
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

    private UpstreamGroup(List<Endpoint> endpoints, Locality locality, UpstreamGroup previous, long now) {
        this.endpoints = endpoints;
        this.ownLocality = locality;
        this.byNode = new HashMap<>();
        this.ejections = previous.ejections;
        this.medianLatency = previous.medianLatency;
        this.nextLatencyCheckNanoseconds = previous.nextLatencyCheckNanoseconds;
        for (Endpoint endpoint : endpoints) {
            if (endpoint.isReady()) {
                byNode.put(endpoint.node(), previous.keepOrCreate(endpoint, now));
            }
        }
        this.upstreams = byNode.values().toArray(Upstream[]::new);
        this.localityLevels = localityLevels(locality, upstreams);
    }

    private UpstreamGroup(Locality locality, long now) {
        this.endpoints = List.of();
        this.ownLocality = locality;
        this.byNode = Map.of();
        this.ejections = new AtomicReference<>(Map.of());
        this.medianLatency = new AtomicReference<>(1.0);
        this.nextLatencyCheckNanoseconds = new AtomicLong(now);
        this.upstreams = new Upstream[0];
        this.localityLevels = localityLevels(locality, upstreams);
    }

    static UpstreamGroup empty(Locality locality, long now) {
        return new UpstreamGroup(locality, now);
    }

    UpstreamGroup rebuild(List<Endpoint> candidates, Locality locality, long now) {
        UpstreamGroup next = new UpstreamGroup(candidates, locality, this, now);
        ejections.updateAndGet(current -> {
            Map<NodeId, OutlierEjection.Ejection> kept = new HashMap<>(current);
            kept.keySet().retainAll(candidates.stream().map(Endpoint::node).toList());
            return Map.copyOf(kept);
        });
        return next;
    }

    // -- queries

    /** Returns whether this group was built from the same list object, which the entries of a routing table share. */
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

    /** Claims the next latency check of the group; true for one caller in each interval. */
    boolean tryClaimLatencyCheck(long now) {
        long due = nextLatencyCheckNanoseconds.get();
        return due - now <= 0
                && nextLatencyCheckNanoseconds.compareAndSet(due, now + LATENCY_CHECK_INTERVAL_NANOSECONDS);
    }

    private Upstream keepOrCreate(Endpoint endpoint, long now) {
        Upstream known = byNode.get(endpoint.node());
        return known != null && known.endpoint().equals(endpoint) ? known : Upstream.of(endpoint, now);
    }

    private static Upstream[][] localityLevels(Locality locality, Upstream[] upstreams) {
        Map<Locality.Distance, List<Upstream>> byDistance = new EnumMap<>(Locality.Distance.class);
        for (Upstream upstream : upstreams) {
            Locality.Distance distance = locality.distanceTo(upstream.endpoint().locality());
            byDistance.computeIfAbsent(distance, _ -> new ArrayList<>()).add(upstream);
        }
        return byDistance.values().stream()
                .map(level -> level.toArray(Upstream[]::new))
                .toArray(Upstream[][]::new);
    }
}
