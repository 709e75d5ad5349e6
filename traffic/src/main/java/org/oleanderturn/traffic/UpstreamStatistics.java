package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ServiceName;

/**
 * What this entry has seen of the endpoints that it sends requests to.
 *
 * <p>Invariants: an attempt counts as outstanding from {@link #begin} until its first {@link #finish}; a request that did
 * not run is no failure of the endpoint, unless no connection came about. Thread safe, without locks on the path of a
 * request.
 */
public final class UpstreamStatistics {
    private static final Duration MAXIMUM_REFUSAL = Duration.ofMillis(250);

    private final OutlierEjection ejection;
    private final LongSupplier nanoseconds;
    private final ConcurrentHashMap<ServiceName, UpstreamGroup> groups = new ConcurrentHashMap<>();

    private UpstreamStatistics(OutlierEjection ejection, LongSupplier nanoseconds) {
        this.ejection = ejection;
        this.nanoseconds = nanoseconds;
    }

    /** Returns statistics with nothing seen. */
    public static UpstreamStatistics of(OutlierEjection ejection, LongSupplier nanoseconds) {
        Objects.requireNonNull(ejection, "ejection is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        return new UpstreamStatistics(ejection, nanoseconds);
    }

    // -- commands

    /** Notes that an attempt goes out to an endpoint. */
    public Attempt begin(Endpoint endpoint) {
        Objects.requireNonNull(endpoint, "endpoint is null");
        long now = nanoseconds.getAsLong();
        UpstreamGroup group = groups.get(endpoint.service());
        Upstream known = group == null ? null : group.find(endpoint.node());
        Upstream upstream = known == null ? Upstream.of(endpoint, now) : known;
        upstream.begin();
        return Attempt.of(upstream, now);
    }

    /** Notes the first byte of an attempt's answer; the latency is taken up to here. */
    public void recordFirstByte(Attempt attempt) {
        Objects.requireNonNull(attempt, "attempt is null");
        attempt.recordFirstByte(nanoseconds.getAsLong());
    }

    /** Notes how an attempt ended; a second call for the same attempt is ignored. */
    public void finish(Attempt attempt, AttemptOutcome outcome) {
        Objects.requireNonNull(attempt, "attempt is null");
        Objects.requireNonNull(outcome, "outcome is null");
        if (!attempt.tryFinish()) {
            return;
        }
        long now = nanoseconds.getAsLong();
        Upstream upstream = attempt.upstream();
        upstream.end();
        recordOutcome(upstream, attempt.latency(now), outcome, now);
    }

    /** Takes an endpoint's own report of its load, from 0 to 1, as a weak hint. */
    public void recordReportedLoad(ServiceName service, NodeId node, double load) {
        UpstreamGroup group = groups.get(service);
        Upstream upstream = group == null ? null : group.find(node);
        if (upstream != null) {
            upstream.recordReportedLoad(load, nanoseconds.getAsLong());
        }
    }

    private void recordOutcome(Upstream upstream, long latency, AttemptOutcome outcome, long now) {
        switch (outcome) {
            case AttemptOutcome.Succeeded succeeded -> {
                upstream.recordSuccess(latency, now);
                evaluate(upstream, true, latency, now);
            }
            case AttemptOutcome.NotRun notRun
            when notRun.reason() == NotRunReason.CONNECT_FAILED -> recordFailure(upstream, latency, now);
            case AttemptOutcome.NotRun notRun -> {
                Duration pause =
                        notRun.retryAfter().compareTo(MAXIMUM_REFUSAL) > 0 ? MAXIMUM_REFUSAL : notRun.retryAfter();
                upstream.refuseUntil(now + pause.toNanos());
            }
            case AttemptOutcome.Cancelled cancelled -> upstream.recordMinimumLatency(latency, now);
            case AttemptOutcome.Failed failed -> recordFailure(upstream, latency, now);
            case AttemptOutcome.TargetCrashed died -> recordFailure(upstream, latency, now);
            case AttemptOutcome.Unknown unknown -> recordFailure(upstream, latency, now);
            case AttemptOutcome.ResponseTruncated started -> recordFailure(upstream, latency, now);
        }
    }

    private void recordFailure(Upstream upstream, long latency, long now) {
        upstream.recordFailure(now);
        evaluate(upstream, false, latency, now);
    }

    private void evaluate(Upstream upstream, boolean isSuccess, long latency, long now) {
        UpstreamGroup group = groups.get(upstream.endpoint().service());
        if (group == null || group.find(upstream.endpoint().node()) != upstream) {
            return;
        }
        ejection.evaluate(group, upstream, isSuccess, latency, now);
        if (group.tryClaimLatencyCheck(now)) {
            ejection.evaluateLatencies(group, now);
        }
    }

    // -- queries

    /** Returns what is known of a service's ready endpoints, sorted by node. */
    public List<UpstreamReport> reports(ServiceName service) {
        UpstreamGroup group = groups.get(service);
        if (group == null) {
            return List.of();
        }
        long now = nanoseconds.getAsLong();
        return Arrays.stream(group.upstreams())
                .map(upstream -> UpstreamReport.of(upstream, ejection.isEjected(group, upstream, now), now))
                .sorted(Comparator.comparing(UpstreamReport::node))
                .toList();
    }

    /** Returns the group of a service, built anew when the endpoints are another list than before. */
    UpstreamGroup group(ServiceName service, List<Endpoint> endpoints, Locality own) {
        UpstreamGroup held = groups.get(service);
        if (held != null && held.isBuiltFrom(endpoints, own)) {
            return held;
        }
        long now = nanoseconds.getAsLong();
        return groups.compute(service, (name, former) -> {
            UpstreamGroup base = former == null ? UpstreamGroup.empty(own, now) : former;
            return base.isBuiltFrom(endpoints, own) ? base : base.rebuild(endpoints, own, now);
        });
    }
}
