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
 * What this entry has measured of the endpoints that it sends requests to.
 *
 * <p>Invariants: an attempt is outstanding from {@link #begin} until its first {@link #finish}; a request that did
 * not run does not count as a failure of the endpoint, unless no connection could be established. Thread safe,
 * without locks on the request path.
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

    /** Returns empty statistics; the clock is in nanoseconds. */
    public static UpstreamStatistics of(OutlierEjection ejection, LongSupplier nanoseconds) {
        Objects.requireNonNull(ejection, "ejection is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        return new UpstreamStatistics(ejection, nanoseconds);
    }

    // -- commands

    /** Records that an attempt is sent to an endpoint. */
    public Attempt begin(Endpoint endpoint) {
        Objects.requireNonNull(endpoint, "endpoint is null");
        long now = nanoseconds.getAsLong();
        UpstreamGroup group = groups.get(endpoint.service());
        Upstream known = group == null ? null : group.find(endpoint.node());
        Upstream upstream = known == null ? Upstream.of(endpoint, now) : known;
        upstream.begin();
        return Attempt.of(upstream, now);
    }

    /** Records the first response byte of an attempt, which determines its latency. */
    public void recordFirstByte(Attempt attempt) {
        Objects.requireNonNull(attempt, "attempt is null");
        attempt.recordFirstByte(nanoseconds.getAsLong());
    }

    /** Records how an attempt ended; only the first call for an attempt counts. */
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

    /** Records the load that an endpoint reported, from 0 to 1; it affects the choice only slightly. */
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
                Duration refusal =
                        notRun.retryAfter().compareTo(MAXIMUM_REFUSAL) > 0 ? MAXIMUM_REFUSAL : notRun.retryAfter();
                upstream.refuseUntil(now + refusal.toNanos());
            }
            case AttemptOutcome.Cancelled cancelled -> upstream.recordMinimumLatency(latency, now);
            case AttemptOutcome.Failed failed -> recordFailure(upstream, latency, now);
            case AttemptOutcome.TargetCrashed crashed -> recordFailure(upstream, latency, now);
            case AttemptOutcome.Unknown unknown -> recordFailure(upstream, latency, now);
            case AttemptOutcome.ResponseTruncated truncated -> recordFailure(upstream, latency, now);
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

    /** Returns a report on each ready endpoint of a service, sorted by node; empty if the service is not known. */
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

    /** Returns the group of a service, rebuilt when the list of endpoints is another object than before. */
    UpstreamGroup group(ServiceName service, List<Endpoint> endpoints, Locality locality) {
        UpstreamGroup current = groups.get(service);
        if (current != null && current.isBuiltFrom(endpoints, locality)) {
            return current;
        }
        long now = nanoseconds.getAsLong();
        return groups.compute(service, (name, previous) -> {
            UpstreamGroup base = previous == null ? UpstreamGroup.empty(locality, now) : previous;
            return base.isBuiltFrom(endpoints, locality) ? base : base.rebuild(endpoints, locality, now);
        });
    }
}
