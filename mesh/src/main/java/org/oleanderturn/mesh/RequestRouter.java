package org.oleanderturn.mesh;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Organisation;

/**
 * Finds the route and the organisation of a client's request.
 *
 * <p>Invariants: both come from one configuration snapshot; a request is forbidden only by a version that is known to be the
 * newest in force. Thread safe.
 */
final class RequestRouter {
    private static final String KEY_UNCONFIRMED = "KEY_UNCONFIRMED";

    private final Supplier<RouteIndex> routes;
    private final VersionCheck versionCheck;
    private final Authenticator authenticator;

    private RequestRouter(Supplier<RouteIndex> routes, VersionCheck versionCheck, Authenticator authenticator) {
        this.routes = routes;
        this.versionCheck = versionCheck;
        this.authenticator = authenticator;
    }

    /** Returns a router that goes by the given index and asks the check before it forbids a request. */
    static RequestRouter of(Supplier<RouteIndex> routes, VersionCheck versionCheck, Authenticator authenticator) {
        Objects.requireNonNull(routes, "routes is null");
        Objects.requireNonNull(versionCheck, "versionCheck is null");
        Objects.requireNonNull(authenticator, "authenticator is null");
        return new RequestRouter(routes, versionCheck, authenticator);
    }

    /**
     * Where a request goes.
     *
     * @param index the index that the route comes from
     * @param organisation the organisation that sent the request; empty for an anonymous one
     */
    record Routed(RouteIndex index, RouteIndex.Match match, Optional<Organisation> organisation) {}

    /** What one snapshot says of a request that it does not allow. */
    private enum Refusal {
        NO_ROUTE,
        UNKNOWN_KEY,
        /** The key was in force when the request came. */
        REMOVED_KEY,
        /** The key is another organisation's since the request came. */
        MOVED_KEY,
        UNCONFIRMED_KEY
    }

    // -- queries

    /** Returns the index in force. */
    RouteIndex index() {
        return routes.get();
    }

    /** Returns where a request goes; blocks for a bounded time to make sure of the version before it is forbidden. */
    Either<RoutingDenial, Routed> route(String method, String path, ClientRequestMetadata client) {
        return decide(index -> find(index, method, path, client));
    }

    /**
     * Returns the version in force if the organisation that sent a request still holds its key by it; blocks for a bounded
     * time to make sure of the version before the request is forbidden.
     */
    Either<RoutingDenial, ConfigurationVersion> recheckKey(MeshRequest request) {
        return request.organisation().isEmpty()
                ? Either.right(routes.get().snapshot().version())
                : decide(index -> findKey(index, request, request.organisation().get()));
    }

    private <T> Either<RoutingDenial, T> decide(Function<RouteIndex, Either<Refusal, T>> decision) {
        RouteIndex index = routes.get();
        Either<Refusal, T> found = decision.apply(index);
        if (found.isRight()) {
            return Either.right(found.get());
        }
        ConfigurationVersion version = index.snapshot().version();
        if (found.getLeft() == Refusal.UNCONFIRMED_KEY) {
            return Either.left(new RoutingDenial.Undetermined(KEY_UNCONFIRMED, version));
        }
        VersionStatus status = versionCheck.check(version);
        // The check may have brought a newer version.
        RouteIndex newest = routes.get();
        return decision.apply(newest)
                .mapLeft(refusal -> denial(refusal, status, newest.snapshot().version()));
    }

    private Either<Refusal, ConfigurationVersion> findKey(RouteIndex index, MeshRequest request, Organisation sender) {
        return switch (authenticator.authenticate(
                index, request.match().route(), request.client().credentials())) {
            case Authentication.Admitted admitted ->
                admitted.organisation()
                                .filter(holder -> !holder.name().equals(sender.name()))
                                .isPresent()
                        ? Either.left(Refusal.MOVED_KEY)
                        : Either.right(index.snapshot().version());
            case Authentication.UnknownKey _ -> Either.left(Refusal.REMOVED_KEY);
            case Authentication.Unconfirmed _ -> Either.left(Refusal.UNCONFIRMED_KEY);
        };
    }

    private Either<Refusal, Routed> find(RouteIndex index, String method, String path, ClientRequestMetadata client) {
        Optional<RouteIndex.Match> match = index.find(client.host(), method, path);
        if (match.isEmpty()) {
            return Either.left(Refusal.NO_ROUTE);
        }
        return switch (authenticator.authenticate(index, match.get().route(), client.credentials())) {
            case Authentication.Admitted admitted ->
                Either.right(new Routed(index, match.get(), admitted.organisation()));
            case Authentication.UnknownKey _ -> Either.left(Refusal.UNKNOWN_KEY);
            case Authentication.Unconfirmed _ -> Either.left(Refusal.UNCONFIRMED_KEY);
        };
    }

    private static RoutingDenial denial(Refusal refusal, VersionStatus status, ConfigurationVersion version) {
        if (refusal == Refusal.UNCONFIRMED_KEY) {
            return new RoutingDenial.Undetermined(KEY_UNCONFIRMED, version);
        }
        return switch (status) {
            case VersionStatus.Newest _ -> denialByNewest(refusal, version);
            case VersionStatus.Behind _ -> new RoutingDenial.Undetermined("CONFIGURATION_BEHIND", version);
            case VersionStatus.Unconfirmed _ -> new RoutingDenial.Undetermined("CONFIGURATION_UNCONFIRMED", version);
        };
    }

    private static RoutingDenial denialByNewest(Refusal refusal, ConfigurationVersion version) {
        return switch (refusal) {
            case NO_ROUTE -> new RoutingDenial.Forbidden(HttpStatuses.NOT_FOUND, "NO_ROUTE", version);
            case UNKNOWN_KEY -> new RoutingDenial.Forbidden(HttpStatuses.UNAUTHORIZED, "UNKNOWN_KEY", version);
            case REMOVED_KEY -> new RoutingDenial.Forbidden(HttpStatuses.UNAUTHORIZED, "KEY_REMOVED", version);
            // The client may send it again for the other organisation.
            case MOVED_KEY -> new RoutingDenial.Undetermined("KEY_MOVED", version);
            case UNCONFIRMED_KEY -> new RoutingDenial.Undetermined(KEY_UNCONFIRMED, version);
        };
    }
}
