package org.oleanderturn.node;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RolloutOrder;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.SoftwareVersion;
import org.oleanderturn.traffic.RolloutCounts;
import org.oleanderturn.traffic.RolloutExposure;
import org.oleanderturn.traffic.RolloutPace;
import org.oleanderturn.traffic.RolloutReport;
import org.oleanderturn.traffic.RolloutRouteCounts;
import org.oleanderturn.traffic.RolloutStage;

/**
 * One order as the entry of this node carries it out.
 *
 * <p>Invariant: the counts only grow, and a settled stage never changes. Thread safe.
 */
final class ServiceRollout {
    private final RolloutOrder order;
    private final RolloutPace pace;
    private final RolloutExposure exposure;
    private final long startNanoseconds;
    private final ConcurrentMap<Integer, RolloutRouteCounts> counts = new ConcurrentHashMap<>();
    private final Set<SoftwareVersion> currentVersions = ConcurrentHashMap.newKeySet();
    private final AtomicLong nextRequests = new AtomicLong();
    private volatile boolean isSettled;

    /**
     * Creates the state of an order that this node learns of.
     *
     * @param nodes the number of nodes that share the exposure
     */
    ServiceRollout(RolloutDirective directive, RolloutPace pace, int nodes, long nowNanoseconds) {
        this.order = directive.order();
        this.pace = pace;
        this.exposure = RolloutExposure.of(pace, nodes);
        this.startNanoseconds = nowNanoseconds - TimeUnit.MILLISECONDS.toNanos(directive.elapsedMilliseconds());
    }

    // -- queries

    RolloutOrder order() {
        return order;
    }

    RolloutStage stage() {
        return exposure.stage();
    }

    boolean isSettled() {
        return isSettled;
    }

    /** Returns how many requests this entry has sent to the new version since it learned of the order. */
    long nextRequests() {
        return nextRequests.get();
    }

    /**
     * Returns what this node tells the judge.
     *
     * @param currentInFlight how many attempts at targets of other versions have not ended
     */
    RolloutReport report(NodeId self, int currentInFlight, long nowNanoseconds) {
        return new RolloutReport(
                self,
                order.service(),
                order.revision(),
                exposure.stage(),
                TimeUnit.NANOSECONDS.toMillis(nowNanoseconds - startNanoseconds),
                currentInFlight,
                List.copyOf(counts.values()));
    }

    /** Returns whether a target runs the version that the order names. */
    boolean isNext(Endpoint endpoint) {
        return endpoint.version().filter(order.target()::equals).isPresent();
    }

    // -- commands

    /** Takes over what the judge says; once settled, nothing is taken over. */
    void apply(RolloutDirective directive, long sentNanoseconds) {
        if (isSettled) {
            return;
        }
        RolloutStage known = exposure.stage();
        boolean isTaken = directive.isSettled() || directive.stage().compareTo(known) > 0;
        exposure.enter(isTaken ? directive.stage() : known);
        if (directive.isPermitted()) {
            exposure.renew(exposure.stage(), sentNanoseconds);
        }
        isSettled = directive.isSettled();
    }

    /** Remembers the versions that the order replaces; one that appears after the end belongs to a later release. */
    void observe(List<Endpoint> endpoints) {
        if (!isSettled) {
            endpoints.stream()
                    .filter(endpoint -> !isNext(endpoint))
                    .forEach(endpoint -> endpoint.version().ifPresent(currentVersions::add));
        }
    }

    /** Returns the endpoints that a request may go to. */
    List<Endpoint> eligible(List<Endpoint> known, boolean isFirstAttempt, long nowNanoseconds) {
        boolean isAllowed =
                isFirstAttempt ? exposure.recordRequest(nowNanoseconds) : exposure.isRetryAllowed(nowNanoseconds);
        RolloutStage stage = exposure.stage();
        if (stage == RolloutStage.COMPLETED) {
            return known.stream().filter(endpoint -> !isCurrent(endpoint)).toList();
        }
        List<Endpoint> current =
                known.stream().filter(endpoint -> !isNext(endpoint)).toList();
        if (stage == RolloutStage.ROLLED_BACK || current.size() == known.size()) {
            return current;
        }
        if (current.isEmpty()) {
            return known;
        }
        List<Endpoint> next = known.stream()
                .filter(endpoint -> isNext(endpoint) && endpoint.isReady())
                .toList();
        return isAllowed && !next.isEmpty() && (!isFirstAttempt || exposure.trySend()) ? next : current;
    }

    private boolean isCurrent(Endpoint endpoint) {
        return endpoint.version().filter(currentVersions::contains).isPresent();
    }

    void recordSent(Endpoint endpoint) {
        if (isNext(endpoint)) {
            nextRequests.incrementAndGet();
        }
    }

    void recordAnswer(RouteName route, Endpoint endpoint, boolean isBad, Duration duration, long nowNanoseconds) {
        boolean isNext = isNext(endpoint);
        boolean isCold = nowNanoseconds - startNanoseconds < pace.coldTime().toNanos();
        int key = route.value().hashCode();
        counts.compute(key, (_, known) -> {
            RolloutCounts next = known == null ? RolloutCounts.none() : known.next();
            RolloutCounts current = known == null ? RolloutCounts.none() : known.current();
            RolloutCounts counted = isNext ? next : current;
            RolloutCounts sum =
                    isBad ? counted.plusBad() : isCold ? counted.plusColdAnswer() : counted.plusAnswer(duration);
            return new RolloutRouteCounts(key, isNext ? sum : next, isNext ? current : sum);
        });
    }
}
