package org.oleanderturn.traffic;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.oleanderturn.model.Endpoint;

/**
 * An endpoint and what this entry has measured of it.
 *
 * <p>Invariant: there is one object for each incarnation of an endpoint, which routing tables share. Thread safe,
 * without locks.
 */
final class Upstream {
    private static final long SLOW_START_NANOSECONDS = 10_000_000_000L;
    private static final double SLOW_START_MINIMUM_FACTOR = 0.1;
    private static final double LOAD_WEIGHT = 0.1;
    private static final double FAILURE_WEIGHT = 20;
    private static final long REPORTED_LOAD_LIFETIME_NANOSECONDS = 5_000_000_000L;

    private final Endpoint endpoint;
    private final long readyNanoseconds;
    private final AtomicInteger outstanding = new AtomicInteger();
    private final AtomicReference<UpstreamMetrics> metrics;
    private final AtomicReference<Refusal> refusal;
    private final AtomicReference<ReportedLoad> reportedLoad;

    private Upstream(Endpoint endpoint, long readyNanoseconds) {
        this.endpoint = endpoint;
        this.readyNanoseconds = readyNanoseconds;
        this.metrics = new AtomicReference<>(UpstreamMetrics.empty(readyNanoseconds));
        this.refusal = new AtomicReference<>(new Refusal(readyNanoseconds));
        this.reportedLoad = new AtomicReference<>(new ReportedLoad(0, readyNanoseconds));
    }

    static Upstream of(Endpoint endpoint, long readyNanoseconds) {
        return new Upstream(endpoint, readyNanoseconds);
    }

    // -- queries

    Endpoint endpoint() {
        return endpoint;
    }

    int outstanding() {
        return outstanding.get();
    }

    UpstreamMetrics metrics() {
        return metrics.get();
    }

    boolean isSaturated(long now) {
        return outstanding.get() >= endpoint.slots() || isRefusing(now);
    }

    boolean isRefusing(long now) {
        return refusal.get().untilNanoseconds() - now > 0;
    }

    /**
     * Returns the expected latency of one more request, in nanoseconds, increased while the endpoint is new, fails or
     * reports load.
     */
    double cost(double medianLatency, long now) {
        UpstreamMetrics current = metrics.get();
        double failurePenalty = FAILURE_WEIGHT * current.failureRate();
        double latency = current.latencyAt(now, medianLatency);
        ReportedLoad report = reportedLoad.get();
        double load = now - report.reportedNanoseconds() < REPORTED_LOAD_LIFETIME_NANOSECONDS ? report.load() : 0;
        return (outstanding.get() + 1)
                * latency
                * (1 + LOAD_WEIGHT * load)
                * (1 + failurePenalty)
                / slowStartFactor(now);
    }

    private double slowStartFactor(long now) {
        double progress = (double) (now - readyNanoseconds) / SLOW_START_NANOSECONDS;
        return Math.max(SLOW_START_MINIMUM_FACTOR, Math.min(1, progress));
    }

    // -- commands

    void begin() {
        outstanding.incrementAndGet();
    }

    void end() {
        outstanding.decrementAndGet();
    }

    void recordSuccess(long latency, long now) {
        metrics.updateAndGet(current -> current.withSuccess(latency, now));
    }

    void recordFailure(long now) {
        metrics.updateAndGet(current -> current.withFailure(now));
    }

    void recordMinimumLatency(long latency, long now) {
        metrics.updateAndGet(current -> current.withMinimumLatency(latency, now));
    }

    void resetMetrics(long now) {
        metrics.set(UpstreamMetrics.empty(now));
    }

    void refuseUntil(long untilNanoseconds) {
        refusal.set(new Refusal(untilNanoseconds));
    }

    void recordReportedLoad(double load, long now) {
        reportedLoad.set(new ReportedLoad(Math.max(0, Math.min(1, load)), now));
    }

    private record Refusal(long untilNanoseconds) {}

    private record ReportedLoad(double load, long reportedNanoseconds) {}
}
