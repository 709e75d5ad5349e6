package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.oleanderturn.model.Organisation;
import org.oleanderturn.model.Route;

/**
 * Decides who sent a request, by its key and the configuration in force.
 *
 * <p>Invariants: a key is known only by a configuration that holds it; where organisations are not declared every request is
 * admitted as anonymous. Thread safe.
 */
public final class Authenticator {
    private final Optional<Duration> failClosedAfter;
    private final Supplier<Optional<Duration>> confirmationAge;

    private Authenticator(Optional<Duration> failClosedAfter, Supplier<Optional<Duration>> confirmationAge) {
        this.failClosedAfter = failClosedAfter;
        this.confirmationAge = confirmationAge;
    }

    /** Returns an authenticator that goes by the configuration at hand however old it is. */
    public static Authenticator failOpen() {
        return new Authenticator(Optional.empty(), Optional::empty);
    }

    /**
     * Returns an authenticator that admits no key when the configuration at hand has not been confirmed for some time.
     *
     * @param limit the time within which a removed key has to be refused, also by a node that is cut off
     * @param confirmationAge returns how long ago a version was last confirmed as the newest; empty before the first time
     */
    public static Authenticator failClosed(Duration limit, Supplier<Optional<Duration>> confirmationAge) {
        Objects.requireNonNull(limit, "limit is null");
        Objects.requireNonNull(confirmationAge, "confirmationAge is null");
        return new Authenticator(Optional.of(limit), confirmationAge);
    }

    /** Returns who sent a request to a route of the index. */
    public Authentication authenticate(RouteIndex index, Route route, ClientCredentials credentials) {
        if (!index.areKeysRequired()) {
            return new Authentication.Admitted(Optional.empty());
        }
        return switch (credentials) {
            case ClientCredentials.Key key -> {
                Optional<Organisation> organisation = index.organisation(key.digest());
                if (organisation.isEmpty()) {
                    yield new Authentication.UnknownKey();
                }
                yield isUnconfirmed() ? new Authentication.Unconfirmed() : new Authentication.Admitted(organisation);
            }
            case ClientCredentials.None _ ->
                route.isAnonymousAllowed()
                        ? new Authentication.Admitted(Optional.empty())
                        : new Authentication.UnknownKey();
            case ClientCredentials.Malformed _ -> new Authentication.UnknownKey();
        };
    }

    private boolean isUnconfirmed() {
        if (failClosedAfter.isEmpty()) {
            return false;
        }
        Optional<Duration> age = confirmationAge.get();
        return age.isEmpty() || age.get().compareTo(failClosedAfter.get()) > 0;
    }
}
