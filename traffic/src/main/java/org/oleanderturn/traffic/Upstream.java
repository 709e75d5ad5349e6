package org.oleanderturn.traffic;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.oleanderturn.model.Endpoint;

/**
 * An endpoint together with what this entry has seen of it.
 *
 * <p>Invariant: one object for one incarnation of one endpoint, across routing tables. Thread safe, without locks.
 */
final class Upstream {
    private static final long SLOW_START_NANOSECONDS = 10_000_000_000L;
    private static final double SLOW_START_LEAST = 0.1;
    private static final double LOAD_WEIGHT = 0.1;
    private static final double FAILURE_WEIGHT = 20;
    private static final long LOAD_USE_NANOSECONDS = 5_000_000_000L;

    private final Endpoint endpoint;
    private final long readyNanoseconds;
    private final AtomicInteger outstanding = new AtomicInteger();
    private final AtomicReference<Observation> observation;
    private final AtomicReference<Refusing> refusing;
    private final AtomicReference<LoadReport> loadReport;

    private Upstream(Endpoint endpoint, long readyNanoseconds) {
        this.endpoint = endpoint;
        this.readyNanoseconds = readyNanoseconds;
        this.observation = new AtomicReference<>(Observation.empty(readyNanoseconds));
        this.refusing = new AtomicReference<>(new Refusing(readyNanoseconds));
        this.loadReport = new AtomicReference<>(new LoadReport(0, readyNanoseconds));
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

    Observation observation() {
        return observation.get();
    }

    boolean isSaturated(long now) {
        return outstanding.get() >= endpoint.slots() || isRefusing(now);
    }

    boolean isRefusing(long now) {
        return refusing.get().untilNanoseconds() - now > 0;
    }

    /** Returns the expected time of one more request here, higher while the endpoint is new or reports load. */
    double cost(double typicalLatency, long now) {
        Observation seen = observation.get();
        double failing = FAILURE_WEIGHT * seen.failureShare();
        double latency = seen.latencyAt(now, typicalLatency);
        LoadReport report = loadReport.get();
        double load = now - report.reportedNanoseconds() < LOAD_USE_NANOSECONDS ? report.load() : 0;
        return (outstanding.get() + 1) * latency * (1 + LOAD_WEIGHT * load) * (1 + failing) / warmth(now);
    }

    private double warmth(long now) {
        double share = (double) (now - readyNanoseconds) / SLOW_START_NANOSECONDS;
        return Math.max(SLOW_START_LEAST, Math.min(1, share));
    }

    // -- commands

    void begin() {
        outstanding.incrementAndGet();
    }

    void end() {
        outstanding.decrementAndGet();
    }

    void succeed(long latency, long now) {
        observation.updateAndGet(held -> held.succeed(latency, now));
    }

    void fail(long now) {
        observation.updateAndGet(held -> held.fail(now));
    }

    void waitedFor(long latency, long now) {
        observation.updateAndGet(held -> held.waitedFor(latency, now));
    }

    void forget(long now) {
        observation.set(Observation.empty(now));
    }

    void refuseUntil(long untilNanoseconds) {
        refusing.set(new Refusing(untilNanoseconds));
    }

    void reportLoad(double load, long now) {
        loadReport.set(new LoadReport(Math.max(0, Math.min(1, load)), now));
    }

    private record Refusing(long untilNanoseconds) {}

    private record LoadReport(double load, long reportedNanoseconds) {}
}
