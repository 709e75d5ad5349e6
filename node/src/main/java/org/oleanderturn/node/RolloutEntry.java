package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.oleanderturn.mesh.RolloutPlacement;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.model.SoftwareVersion;
import org.oleanderturn.traffic.RolloutPace;
import org.oleanderturn.traffic.RolloutStage;

/**
 * Carries out the orders of rollouts at the entry of this node, as the judge directs.
 *
 * <p>Invariants: a service without an order is served as if versions made no difference; of two orders of a service the one
 * with the higher revision holds. Thread safe.
 */
final class RolloutEntry implements RolloutPlacement {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    private final NodeId self;
    private final RolloutPace pace;
    private final Supplier<EndpointView> endpoints;
    private final IntSupplier fleetSize;
    private final LongSupplier clockNanoseconds;
    private final ConcurrentMap<ServiceName, ServiceRollout> rollouts = new ConcurrentHashMap<>();
    private final ConcurrentMap<Software, AtomicInteger> inFlight = new ConcurrentHashMap<>();

    /** What a target runs. */
    private record Software(ServiceName service, Optional<SoftwareVersion> version) {}

    RolloutEntry(
            NodeId self,
            RolloutPace pace,
            Supplier<EndpointView> endpoints,
            IntSupplier fleetSize,
            LongSupplier clockNanoseconds) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.pace = Objects.requireNonNull(pace, "pace is null");
        this.endpoints = Objects.requireNonNull(endpoints, "endpoints is null");
        this.fleetSize = Objects.requireNonNull(fleetSize, "fleetSize is null");
        this.clockNanoseconds = Objects.requireNonNull(clockNanoseconds, "clockNanoseconds is null");
    }

    // -- queries

    RolloutPace pace() {
        return pace;
    }

    /** Returns whether targets of one service run different versions, without which an order has nothing to move. */
    boolean hasSeveralVersions() {
        return hasSeveralVersions(endpoints.get());
    }

    static boolean hasSeveralVersions(EndpointView view) {
        Map<ServiceName, SoftwareVersion> first = new HashMap<>();
        for (Endpoint endpoint : view.all()) {
            if (endpoint.version().isEmpty()) {
                continue;
            }
            SoftwareVersion version = endpoint.version().get();
            SoftwareVersion known = first.putIfAbsent(endpoint.service(), version);
            if (known != null && !known.equals(version)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether an order is known whose end the store does not hold yet. */
    boolean isRolling() {
        return rollouts.values().stream().anyMatch(rollout -> !rollout.isSettled());
    }

    /** Returns what this node tells the judge about the orders that it knows. */
    ControlMessage.RolloutReports reports() {
        long now = clockNanoseconds.getAsLong();
        return new ControlMessage.RolloutReports(rollouts.values().stream()
                .filter(rollout -> !rollout.isSettled())
                .map(rollout -> rollout.report(self, currentInFlight(rollout), now))
                .toList());
    }

    /** Counts also attempts that began before the order was known. */
    private int currentInFlight(ServiceRollout rollout) {
        int count = 0;
        for (Map.Entry<Software, AtomicInteger> entry : inFlight.entrySet()) {
            Software software = entry.getKey();
            boolean isNext =
                    software.version().filter(rollout.order().target()::equals).isPresent();
            count += software.service().equals(rollout.order().service()) && !isNext
                    ? entry.getValue().get()
                    : 0;
        }
        return count;
    }

    /** Returns how many requests went to new versions under the orders that are known. */
    long nextRequests() {
        return rollouts.values().stream()
                .mapToLong(ServiceRollout::nextRequests)
                .sum();
    }

    // -- commands

    /** Takes over what the judge answered to a report that was sent at the given time. */
    void apply(List<RolloutDirective> directives, long sentNanoseconds) {
        Set<ServiceName> ordered = new HashSet<>();
        for (RolloutDirective directive : directives) {
            ServiceName service = directive.order().service();
            ordered.add(service);
            ServiceRollout rollout = rollouts.compute(
                    service,
                    (_, known) -> isNewer(directive, known)
                            ? new ServiceRollout(directive, pace, fleetSize.getAsInt(), clockNanoseconds.getAsLong())
                            : known);
            if (rollout.order().revision() == directive.order().revision()) {
                RolloutStage before = rollout.stage();
                rollout.observe(endpoints.get().endpoints(service));
                rollout.apply(directive, sentNanoseconds);
                if (rollout.stage() != before) {
                    log.atInfo().log(
                            "rollout of %s to %s: entry acts on stage %s",
                            service, rollout.order().target(), rollout.stage());
                }
            }
        }
        rollouts.values()
                .removeIf(rollout -> !rollout.isSettled()
                        && !ordered.contains(rollout.order().service()));
    }

    private static boolean isNewer(RolloutDirective directive, ServiceRollout known) {
        return known == null || directive.order().revision() > known.order().revision();
    }

    // -- placement

    private Optional<ServiceRollout> find(ServiceName service) {
        return Optional.ofNullable(rollouts.get(service));
    }

    @Override
    public List<Endpoint> eligible(ServiceName service, List<Endpoint> known, boolean isFirstAttempt) {
        return find(service)
                .map(rollout -> rollout.eligible(known, isFirstAttempt, clockNanoseconds.getAsLong()))
                .orElse(known);
    }

    @Override
    public void recordSent(ServiceName service, Endpoint endpoint) {
        inFlight(service, endpoint).incrementAndGet();
        find(service).ifPresent(rollout -> rollout.recordSent(endpoint));
    }

    @Override
    public void recordEnded(ServiceName service, Endpoint endpoint) {
        inFlight(service, endpoint).decrementAndGet();
    }

    private AtomicInteger inFlight(ServiceName service, Endpoint endpoint) {
        return inFlight.computeIfAbsent(new Software(service, endpoint.version()), _ -> new AtomicInteger());
    }

    @Override
    public void recordAnswer(
            ServiceName service, RouteName route, Endpoint endpoint, boolean isBad, Duration duration) {
        find(service)
                .ifPresent(rollout ->
                        rollout.recordAnswer(route, endpoint, isBad, duration, clockNanoseconds.getAsLong()));
    }
}
