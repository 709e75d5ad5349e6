package org.oleanderturn.mesh;

import io.vavr.control.Either;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Organisation;
import org.oleanderturn.model.PlacementExplanation;
import org.oleanderturn.model.PlacementExplanation.Candidate;
import org.oleanderturn.model.PlacementExplanation.ReportedLoad;
import org.oleanderturn.model.PlacementExplanation.ServicePlacement;
import org.oleanderturn.model.PlacementExplanation.Standing;
import org.oleanderturn.model.PlacementQuestion;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.model.WeightedService;
import org.oleanderturn.traffic.TargetLoadTracker;

/**
 * Explains where an entry would send a request, without sending it.
 *
 * <p>The choice itself is repeated, so that the explanation can't differ from what the entry does. Invariants: nothing is sent,
 * neither to a target nor to the store, and no request, retry or token is counted. Thread safe.
 */
public final class PlacementExplainer {
    /** A target that gets one request in a hundred is among the chosen ones with a probability of 98 %. */
    private static final int DRAWS = 400;

    private final RequestRouter router;
    private final BooleanSupplier isReady;
    private final Locality locality;
    private final String placement;
    private final MeshEntryDependencies dependencies;

    private PlacementExplainer(
            RequestRouter router,
            BooleanSupplier isReady,
            Locality locality,
            String placement,
            MeshEntryDependencies dependencies) {
        this.router = router;
        this.isReady = isReady;
        this.locality = locality;
        this.placement = placement;
        this.dependencies = dependencies;
    }

    /**
     * Returns an explainer of the choices of an entry with the same arguments.
     *
     * @param locality the location of the entry
     * @param placement the name of the setting by which the entry chooses
     */
    public static PlacementExplainer of(
            Supplier<RouteIndex> routes,
            BooleanSupplier isReady,
            Authenticator authenticator,
            Locality locality,
            String placement,
            MeshEntryDependencies dependencies) {
        Objects.requireNonNull(isReady, "isReady is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(placement, "placement is null");
        Objects.requireNonNull(dependencies, "dependencies is null");
        // An explanation must not ask the store or a relay, as the check of a refused request does.
        RequestRouter router = RequestRouter.of(routes, _ -> new VersionStatus.Newest(), authenticator);
        return new PlacementExplainer(router, isReady, locality, placement, dependencies);
    }

    /** Returns where a request would go now. */
    public PlacementExplanation explain(PlacementQuestion question) {
        RouteIndex index = router.index();
        if (!isReady.getAsBoolean() || index.isEmpty()) {
            return new PlacementExplanation.Refused(
                    index.snapshot().version(), HttpStatuses.SERVICE_UNAVAILABLE, "NOT_READY");
        }
        ClientCredentials credentials = question.key()
                .<ClientCredentials>map(ClientCredentials.Key::new)
                .orElseGet(ClientCredentials::none);
        ClientRequestMetadata client = new ClientRequestMetadata("", Optional.empty(), question.host(), credentials);
        Either<RoutingDenial, RequestRouter.Routed> routed = router.route(question.method(), question.path(), client);
        return routed.fold(PlacementExplainer::refused, this::routed);
    }

    private static PlacementExplanation refused(RoutingDenial denial) {
        return switch (denial) {
            case RoutingDenial.Forbidden forbidden ->
                new PlacementExplanation.Refused(forbidden.version(), forbidden.status(), forbidden.reason());
            case RoutingDenial.Undetermined undetermined ->
                new PlacementExplanation.Refused(
                        undetermined.version(), HttpStatuses.SERVICE_UNAVAILABLE, undetermined.reason());
        };
    }

    private PlacementExplanation routed(RequestRouter.Routed routed) {
        Route route = routed.match().route();
        double bytes = dependencies.exchangeSizes().expectedBytes(route.name(), route.kind());
        return new PlacementExplanation.Routed(
                routed.index().snapshot().version(),
                route.name(),
                route.kind(),
                routed.organisation().map(Organisation::name),
                routed.organisation().flatMap(dependencies.limiter()::state),
                rank(routed, route),
                Math.toIntExact(routed.match().policy().timeoutMilliseconds()),
                routed.match().policy().maximumAttempts(),
                placement,
                Math.round(bytes),
                route.weightedServices().stream()
                        .map(service -> service(service, bytes))
                        .toList());
    }

    private int rank(RequestRouter.Routed routed, Route route) {
        boolean isPossibleCall =
                routed.index().areKeysRequired() && routed.organisation().isEmpty();
        return isPossibleCall
                ? MeshRequest.callRank(route, dependencies.guardClient().mostUrgentLocalRank())
                        .getAsInt()
                : MeshRequest.rank(route, routed.organisation());
    }

    private ServicePlacement service(WeightedService weighted, double bytes) {
        ServiceName service = weighted.service();
        List<Endpoint> known = dependencies.endpoints().get().endpoints(service);
        // Not as a first attempt, which a rollout would count; it says where a retry goes.
        List<Endpoint> eligible = dependencies.rollouts().eligible(service, known, false);
        List<Endpoint> ready = EndpointChoice.accepting(eligible, dependencies.conditions());
        Map<NodeId, Integer> chosen = new HashMap<>();
        for (int draw = 0; draw < DRAWS; draw++) {
            EndpointChoice.balance(dependencies.balancer(), ready, eligible, Set.of(), bytes)
                    .ifPresent(endpoint -> chosen.merge(endpoint.node(), 1, Integer::sum));
        }
        long now = dependencies.clockNanoseconds().getAsLong();
        List<Candidate> candidates = known.stream()
                .map(endpoint ->
                        candidate(endpoint, eligible.contains(endpoint), chosen.getOrDefault(endpoint.node(), 0), now))
                .sorted(Comparator.comparingInt(Candidate::chosen)
                        .reversed()
                        .thenComparing(Candidate::distance)
                        .thenComparing(candidate -> candidate.node().value()))
                .toList();
        return new ServicePlacement(service, weighted.weight(), DRAWS, candidates);
    }

    private Candidate candidate(Endpoint endpoint, boolean isEligible, int chosen, long now) {
        TargetLoadTracker.TargetLoad load = dependencies.loads().load(endpoint.node());
        Optional<ReportedLoad> reported = load.measured()
                .map(report -> new ReportedLoad(
                        report.running(),
                        report.waiting(),
                        report.slots(),
                        report.slownessPercent(),
                        TimeUnit.NANOSECONDS.toMillis(Math.max(0, now - load.measuredNanoseconds()))));
        return new Candidate(
                endpoint.node(),
                locality.distanceTo(endpoint.locality()),
                standing(endpoint, isEligible, load, now),
                reported,
                load.outstanding(),
                chosen);
    }

    private Standing standing(Endpoint endpoint, boolean isEligible, TargetLoadTracker.TargetLoad load, long now) {
        if (!endpoint.isReady()) {
            return Standing.NOT_READY;
        }
        if (dependencies.conditions().isLeaving(endpoint.node())) {
            return Standing.LEAVING;
        }
        if (!isEligible) {
            return Standing.OTHER_VERSION;
        }
        if (load.measured().filter(report -> report.slots() == 0).isPresent()) {
            return Standing.CLOSED;
        }
        return load.avoidedUntilNanoseconds() - now > 0 ? Standing.AVOIDED : Standing.ELIGIBLE;
    }
}
