package org.oleanderturn.model;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class ConfigurationValidatorTest {
    private static final Service DOCS = Service.of("docs", 10, 120);
    private static final TrafficPolicy POLICY = policy(1_000);
    private static final Route READ_ROUTE = route("docs", "/docs", List.of("GET"), "docs", "usual");

    @Test
    void shouldFindNoFaultWhenTheConfigurationIsValid() {
        assertThat(validate(DOCS, READ_ROUTE, POLICY)).isEmpty();
    }

    @ParameterizedTest
    @MethodSource("invalidConfigurations")
    void shouldReportTheFaultAndItsPathWhenTheConfigurationIsInvalid(
            Configuration configuration, ConfigurationFault expected) {
        assertThat(ConfigurationValidator.validate(configuration)).contains(expected);
    }

    static Stream<Arguments> invalidConfigurations() {
        return Stream.of(
                Arguments.of(
                        of(DOCS, route("docs", "/docs", List.of("GET"), "gone", "usual"), POLICY),
                        new ConfigurationFault.UnknownService("routes/docs", ServiceName.of("gone"))),
                Arguments.of(
                        of(DOCS, route("docs", "/docs", List.of("GET"), "docs", "gone"), POLICY),
                        new ConfigurationFault.UnknownTrafficPolicy("routes/docs", TrafficPolicyName.of("gone"))),
                Arguments.of(
                        of(DOCS, route("docs", "docs", List.of("GET"), "docs", "usual"), POLICY),
                        new ConfigurationFault.MalformedPrefix("routes/docs", "docs")),
                Arguments.of(
                        of(DOCS, route("docs", "/docs", List.of("GET", "GET"), "docs", "usual"), POLICY),
                        new ConfigurationFault.MalformedMethods("routes/docs")),
                Arguments.of(
                        of(DOCS, route("docs", "/docs", List.of("POST"), "docs", "usual"), POLICY),
                        new ConfigurationFault.MethodUnfitForKind("routes/docs", "POST", RequestKind.LOOKUP)),
                Arguments.of(
                        of(Service.of("docs", 0, 120), READ_ROUTE, POLICY),
                        new ConfigurationFault.OutOfRange("services/docs", "slots", 0, 1, 10_000)),
                Arguments.of(
                        of(DOCS, READ_ROUTE, policy(0)),
                        new ConfigurationFault.OutOfRange(
                                "trafficPolicies/usual", "timeoutMilliseconds", 0, 1, 3_600_000)),
                Arguments.of(
                        Configuration.of(
                                List.of(DOCS),
                                List.of(READ_ROUTE, route("other", "/docs", List.of("GET"), "docs", "usual")),
                                List.of(POLICY)),
                        new ConfigurationFault.ShadowedRoute("routes/other", RouteName.of("docs"))),
                Arguments.of(
                        Configuration.of(List.of(DOCS, DOCS), List.of(READ_ROUTE), List.of(POLICY)),
                        new ConfigurationFault.DuplicateName("services/docs")));
    }

    @Test
    void shouldReportAKeyThatTwoOrganisationsHold() {
        KeyDigest key = KeyDigest.ofKey("key-1");
        Organisation first = Organisation.of(OrganisationName.of("first"), List.of(key));
        Organisation second = Organisation.of(OrganisationName.of("second"), List.of(key));
        assertThat(ConfigurationValidator.validate(
                        of(DOCS, READ_ROUTE, POLICY).withOrganisations(Optional.of(List.of(second, first)))))
                .containsExactly(new ConfigurationFault.SharedKey("organisations/second", first.name()));
    }

    private static List<ConfigurationFault> validate(Service service, Route route, TrafficPolicy policy) {
        return ConfigurationValidator.validate(of(service, route, policy));
    }

    private static Configuration of(Service service, Route route, TrafficPolicy policy) {
        return Configuration.of(List.of(service), List.of(route), List.of(policy));
    }

    private static Route route(String name, String prefix, List<String> methods, String service, String policy) {
        return Route.of(
                RouteName.of(name),
                prefix,
                methods,
                ServiceName.of(service),
                RequestKind.LOOKUP,
                TrafficPolicyName.of(policy));
    }

    private static TrafficPolicy policy(int timeoutMilliseconds) {
        return new TrafficPolicy(TrafficPolicyName.of("usual"), timeoutMilliseconds, 3, 20, 95, 5, 20, 20);
    }
}
