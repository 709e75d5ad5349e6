package org.oleanderturn.mesh;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.Optional;
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
        UNCONFIRMED_KEY
    }

    // -- queries

    /** Returns the index in force. */
    RouteIndex index() {
        return routes.get();
    }

    /** Returns whether the organisation of a request still holds the key that the request carries. */
    boolean isKeyInForce(MeshRequest request) {
        if (request.organisation().isEmpty()) {
            return true;
        }
        RouteIndex index = routes.get();
        return !index.areKeysRequired()
                || !(request.client().credentials() instanceof ClientCredentials.Key key)
                || index.organisation(key.digest()).isPresent();
    }

    /** Returns where a request goes; blocks for a bounded time to make sure of the version before it is forbidden. */
    Either<RoutingDenial, Routed> route(String method, String path, ClientRequestMetadata client) {
        RouteIndex index = routes.get();
        Either<Refusal, Routed> found = find(index, method, path, client);
        if (found.isRight()) {
            return Either.right(found.get());
        }
        if (found.getLeft() == Refusal.UNCONFIRMED_KEY) {
            return Either.left(new RoutingDenial.Undetermined(
                    "KEY_UNCONFIRMED", index.snapshot().version()));
        }
        VersionStatus status = versionCheck.check(index.snapshot().version());
        // The check may have brought a newer version.
        RouteIndex newest = routes.get();
        return find(newest, method, path, client)
                .mapLeft(refusal -> denial(refusal, status, newest.snapshot().version()));
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
            return new RoutingDenial.Undetermined("KEY_UNCONFIRMED", version);
        }
        return switch (status) {
            case VersionStatus.Newest _ ->
                refusal == Refusal.NO_ROUTE
                        ? new RoutingDenial.Forbidden(HttpStatuses.NOT_FOUND, "NO_ROUTE", version)
                        : new RoutingDenial.Forbidden(HttpStatuses.UNAUTHORIZED, "UNKNOWN_KEY", version);
            case VersionStatus.Behind _ -> new RoutingDenial.Undetermined("CONFIGURATION_BEHIND", version);
            case VersionStatus.Unconfirmed _ -> new RoutingDenial.Undetermined("CONFIGURATION_UNCONFIRMED", version);
        };
    }
}
