package org.oleanderturn.mesh;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.KeyDigest;
import org.oleanderturn.model.Organisation;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.TrafficPolicy;
import org.oleanderturn.model.TrafficPolicyName;

final class RequestRouterTest {
    private static final KeyDigest KEY = KeyDigest.ofKey("key-1");
    private static final KeyDigest LATER_KEY = KeyDigest.ofKey("key-2");
    private static final Duration REVOCATION = Duration.ofSeconds(5);

    private final AtomicReference<RouteIndex> index = new AtomicReference<>(index(1, KEY));
    private VersionStatus status = new VersionStatus.Newest();
    private Optional<Duration> confirmationAge = Optional.of(Duration.ZERO);
    private int checks;
    private final RequestRouter router = RequestRouter.of(index::get, this::check, Authenticator.failOpen());

    /** A removed key must be refused, and a key in force never. */
    @Test
    void shouldForbidAKeyOnlyByTheVersionThatRemovedIt() {
        assertThat(organisation(key(KEY))).isEqualTo(Optional.of("first"));
        assertThat(checks).isEqualTo(0);
        index.set(index(2, LATER_KEY));
        assertForbidden(key(KEY));
        assertThat(organisation(key(LATER_KEY))).isEqualTo(Optional.of("first"));
    }

    @Test
    void shouldAskForAKeyUnlessTheRouteAllowsAnonymousRequests() {
        assertForbidden(ClientCredentials.none());
        assertForbidden(new ClientCredentials.Malformed());
        Either<RoutingDenial, RequestRouter.Routed> open =
                router.route("GET", "/open/x", client(ClientCredentials.none()));
        assertThat(open.get().organisation()).isEqualTo(Optional.empty());
        assertThat(router.route("GET", "/open/x", client(key(LATER_KEY))).isLeft())
                .isTrue();
    }

    /** A key that a version has just added must not be denied by a node that does not hold that version yet. */
    @Test
    void shouldNotForbidAKeyThatANewerVersionMayHold() {
        status = new VersionStatus.Behind(ConfigurationVersion.of(2));
        assertThat(denial(key(LATER_KEY))).isInstanceOf(RoutingDenial.Undetermined.class);
        status = new VersionStatus.Unconfirmed();
        assertThat(denial(key(LATER_KEY))).isInstanceOf(RoutingDenial.Undetermined.class);
        versionToCome = Optional.of(index(2, KEY, LATER_KEY));
        assertThat(organisation(key(LATER_KEY))).isEqualTo(Optional.of("first"));
    }

    @Test
    void shouldAdmitNoKeyWhenTheConfigurationIsTooOldToBeTrustedAndTheNodeFailsClosed() {
        RequestRouter closed =
                RequestRouter.of(index::get, this::check, Authenticator.failClosed(REVOCATION, () -> confirmationAge));
        confirmationAge = Optional.of(REVOCATION);
        assertThat(closed.route("GET", "/a/x", client(key(KEY))).isRight()).isTrue();
        confirmationAge = Optional.of(REVOCATION.plusMillis(1));
        assertThat(closed.route("GET", "/a/x", client(key(KEY))).getLeft())
                .isInstanceOf(RoutingDenial.Undetermined.class);
        confirmationAge = Optional.empty();
        assertThat(closed.route("GET", "/a/x", client(key(KEY))).isLeft()).isTrue();
        assertThat(router.route("GET", "/a/x", client(key(KEY))).isRight()).isTrue();
    }

    @Test
    void shouldAdmitEveryRequestWhenNoOrganisationsAreDeclared() {
        index.set(RouteIndex.of(ConfigurationSnapshot.of(
                ConfigurationVersion.of(2),
                index(1, KEY).snapshot().configuration().withOrganisations(Optional.empty()))));
        assertThat(router.route("GET", "/a/x", client(ClientCredentials.none()))
                        .get()
                        .organisation())
                .isEqualTo(Optional.empty());
        assertThat(router.route("GET", "/a/x", client(key(LATER_KEY))).get().organisation())
                .isEqualTo(Optional.empty());
    }

    private Optional<RouteIndex> versionToCome = Optional.empty();

    private VersionStatus check(ConfigurationVersion version) {
        checks++;
        versionToCome.ifPresent(index::set);
        return status;
    }

    private Optional<String> organisation(ClientCredentials credentials) {
        return router.route("GET", "/a/x", client(credentials))
                .get()
                .organisation()
                .map(organisation -> organisation.name().value());
    }

    private RoutingDenial denial(ClientCredentials credentials) {
        return router.route("GET", "/a/x", client(credentials)).getLeft();
    }

    private void assertForbidden(ClientCredentials credentials) {
        assertThat(((RoutingDenial.Forbidden) denial(credentials)).status()).isEqualTo(401);
    }

    private static ClientCredentials key(KeyDigest digest) {
        return new ClientCredentials.Key(digest);
    }

    private static ClientRequestMetadata client(ClientCredentials credentials) {
        return new ClientRequestMetadata("id", Optional.empty(), "host.example", credentials);
    }

    private static RouteIndex index(long version, KeyDigest... keys) {
        Service service = Service.of("service", 9, 100);
        TrafficPolicy policy = new TrafficPolicy(TrafficPolicyName.of("policy"), 1_000, 1, 0, 0, 0, 0, 0);
        Organisation organisation = Organisation.of(OrganisationName.of("first"), List.of(keys));
        Configuration configuration = Configuration.of(
                        List.of(service),
                        List.of(
                                route("closed", "/a/", service, policy, false),
                                route("open", "/open/", service, policy, true)),
                        List.of(policy))
                .withOrganisations(Optional.of(List.of(organisation)));
        return RouteIndex.of(ConfigurationSnapshot.of(ConfigurationVersion.of(version), configuration));
    }

    private static Route route(String name, String prefix, Service service, TrafficPolicy policy, boolean isOpen) {
        return new Route(
                RouteName.of(name),
                prefix,
                List.of(),
                service.name(),
                RequestKind.LOOKUP,
                policy.name(),
                Optional.of("host.example"),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.of(isOpen));
    }
}
