package org.oleanderturn.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.TrafficPolicy;
import org.oleanderturn.model.TrafficPolicyName;

final class RouteIndexTest {
    private static final Service SERVICE = Service.of("docs", 9, 100);
    private static final TrafficPolicy POLICY =
            new TrafficPolicy(TrafficPolicyName.of("policy"), 1_000, 2, 0, 0, 0, 0, 0);

    private final RouteIndex index = RouteIndex.of(ConfigurationSnapshot.of(
            ConfigurationVersion.of(3),
            Configuration.of(
                    List.of(SERVICE),
                    List.of(
                            route("short", "a.example", "/docs/"),
                            route("long", "a.example", "/docs/deep/"),
                            route("other", "b.example", "/docs/")),
                    List.of(POLICY))));

    @Test
    void shouldFindTheLongestPrefixWhenSeveralMatch() {
        assertThat(find("a.example", "/docs/deep/x")).isEqualTo(Optional.of("long"));
        assertThat(find("a.example", "/docs/deeper")).isEqualTo(Optional.of("short"));
    }

    @Test
    void shouldIgnoreCaseWhenHostsAreCompared() {
        assertThat(find("B.Example", "/docs/deep/x")).isEqualTo(Optional.of("other"));
        assertThat(find("c.example", "/docs/x")).isEqualTo(Optional.empty());
    }

    @Test
    void shouldFindNoRouteWhenThePathDiffersInCaseOrEndsBeforeThePrefix() {
        assertThat(find("a.example", "/docs")).isEqualTo(Optional.empty());
        assertThat(find("a.example", "/DOCS/x")).isEqualTo(Optional.empty());
    }

    private Optional<String> find(String host, String path) {
        return index.find(host, "POST", path).map(match -> match.route().name().value());
    }

    private static Route route(String name, String host, String prefix) {
        return new Route(
                RouteName.of(name),
                prefix,
                new ArrayList<>(),
                SERVICE.name(),
                RequestKind.LOOKUP,
                POLICY.name(),
                Optional.of(host),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }
}
