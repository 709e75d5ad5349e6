package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.RoutingTable;
import org.oleanderturn.model.ServiceName;

/**
 * Decides when a lookup without a response is sent a second time.
 *
 * <p>Invariants: only lookups are hedged, and never suspect ones; the delay is the configured percentile of recent
 * latencies of the service. {@link RequestStateMachine} withdraws each hedge from the route's hedge budget and from
 * the request's allowance. Thread safe.
 */
public final class HedgePolicy {
    private final LongSupplier nanoseconds;
    private final ConcurrentHashMap<ServiceName, LatencyHistogram> histograms = new ConcurrentHashMap<>();

    private HedgePolicy(LongSupplier nanoseconds) {
        this.nanoseconds = nanoseconds;
    }

    /** Returns a policy without latency samples; the clock is in nanoseconds. */
    public static HedgePolicy of(LongSupplier nanoseconds) {
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        return new HedgePolicy(nanoseconds);
    }

    /** Records the time from the first attempt of a lookup to its first response byte. */
    public void recordLatency(ServiceName service, Duration latency) {
        histogram(service).record(latency.toNanos());
    }

    /**
     * Returns how long to wait for the first attempt before hedging; empty if the request must not be hedged or there
     * are too few samples.
     */
    public Optional<Duration> delay(RoutingTable.Entry entry, boolean isSuspect) {
        int percentile = entry.trafficPolicy().hedgePercentile();
        if (entry.route().kind() != RequestKind.LOOKUP || percentile <= 0 || isSuspect) {
            return Optional.empty();
        }
        return histogram(entry.service().name()).percentile(percentile);
    }

    private LatencyHistogram histogram(ServiceName service) {
        LatencyHistogram known = histograms.get(service);
        return known != null ? known : histograms.computeIfAbsent(service, name -> LatencyHistogram.of(nanoseconds));
    }
}
