package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Route;
import org.oleanderturn.traffic.CrashVerdict;
import org.oleanderturn.traffic.SuspectPlacement;
import org.oleanderturn.traffic.TargetLoadTracker;
import org.oleanderturn.traffic.TargetPlacement;

/** Chooses the endpoints of one request's attempts and logs the choices. Immutable and thread safe. */
final class EndpointChoice {
    private final MeshRequest request;
    private final MeshEntryDependencies dependencies;

    EndpointChoice(MeshRequest request, MeshEntryDependencies dependencies) {
        this.request = Objects.requireNonNull(request, "request is null");
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies is null");
    }

    /**
     * Prefers ready endpoints; without an untried one, any other known endpoint is better than none.
     *
     * @param isFirstAttempt whether no attempt was made before, as rollouts count requests and not attempts
     */
    Optional<Endpoint> choose(CrashVerdict verdict, Set<NodeId> excluded, boolean isFirstAttempt) {
        List<Endpoint> known = dependencies
                .rollouts()
                .eligible(
                        request.service(), dependencies.endpoints().get().endpoints(request.service()), isFirstAttempt);
        List<Endpoint> ready = accepting(known, dependencies.conditions());
        if (verdict instanceof CrashVerdict.Suspect) {
            return SuspectPlacement.choose(ready, excluded, request.identity().fingerprint());
        }
        Route route = request.match().route();
        double bytes = dependencies.exchangeSizes().expectedBytes(route.name(), route.kind());
        return balance(dependencies.balancer(), ready, known, excluded, bytes);
    }

    /** Returns the endpoints that accept new requests. */
    static List<Endpoint> accepting(List<Endpoint> known, TargetConditions conditions) {
        return known.stream()
                .filter(Endpoint::isReady)
                .filter(endpoint -> !conditions.isLeaving(endpoint.node()))
                .toList();
    }

    /** Returns the balancer's choice among the endpoints that accept requests, or else among all known ones. */
    static Optional<Endpoint> balance(
            TargetPlacement balancer, List<Endpoint> ready, List<Endpoint> known, Set<NodeId> excluded, double bytes) {
        Optional<Endpoint> chosen = balancer.choose(ready, excluded, bytes);
        return chosen.isPresent() ? chosen : balancer.choose(known, excluded, bytes);
    }

    /** Logs that an attempt is sent to a node, with the newest report of its load. */
    void logPlacement(NodeId node, int attempt) {
        TargetLoadTracker.TargetLoad load = dependencies.loads().load(node);
        long now = dependencies.clockNanoseconds().getAsLong();
        dependencies
                .decisionLog()
                .record(new Decision.Placed(
                        request.attemptId(),
                        attempt,
                        request.match().route().name(),
                        request.service(),
                        node,
                        request.version(),
                        load.measured(),
                        TimeUnit.NANOSECONDS.toMillis(now - load.measuredNanoseconds()),
                        Duration.ofNanos(request.deadlineNanoseconds() - now)));
    }
}
