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
 * Decides when a lookup that has no answer yet is sent a second time.
 *
 * <p>Invariants: only lookups are hedged, never crash suspects; the time is the percentile that the policy states of what
 * was seen in the last seconds. The hedge is taken out of the route's hedge budget and the request's allowance by
 * {@link RequestStateMachine}. Thread safe.
 */
public final class HedgePolicy {
    private final LongSupplier nanoseconds;
    private final ConcurrentHashMap<ServiceName, LatencyHistogram> histograms = new ConcurrentHashMap<>();

    private HedgePolicy(LongSupplier nanoseconds) {
        this.nanoseconds = nanoseconds;
    }

    /** Returns a policy with nothing seen. */
    public static HedgePolicy of(LongSupplier nanoseconds) {
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        return new HedgePolicy(nanoseconds);
    }

    /** Notes the time from a lookup's first attempt to its first answer byte. */
    public void recordLatency(ServiceName service, Duration latency) {
        histogram(service).record(latency.toNanos());
    }

    /** Returns how long to wait for the first attempt before a hedge, or none when there is to be no hedge. */
    public Optional<Duration> delay(RoutingTable.Entry entry, boolean isSuspect) {
        int percentile = entry.trafficPolicy().hedgePercentile();
        if (entry.route().kind() != RequestKind.LOOKUP || percentile <= 0 || isSuspect) {
            return Optional.empty();
        }
        return histogram(entry.service().name()).percentile(percentile);
    }

    private LatencyHistogram histogram(ServiceName service) {
        LatencyHistogram held = histograms.get(service);
        return held != null ? held : histograms.computeIfAbsent(service, name -> LatencyHistogram.of(nanoseconds));
    }
}
