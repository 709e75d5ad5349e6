package org.oleanderturn.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.RoutingTable;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.TrafficPolicy;
import org.oleanderturn.model.TrafficPolicyName;
import org.oleanderturn.traffic.DeadlineBudget;
import org.oleanderturn.traffic.Fingerprint;
import org.oleanderturn.traffic.RequestAction;
import org.oleanderturn.traffic.RetryAllowance;

class RoutedRequestTest {
    private static final Duration REMAINING_TIME = Duration.ofSeconds(2);
    private static final Duration HALF_OF_REMAINING_TIME = Duration.ofSeconds(1);

    @Test
    void shouldLeaveTimeForAnotherAttemptWhenALookupMayBeRetried() {
        assertThat(attemptTimeout(RequestKind.LOOKUP, 1)).isEqualTo(HALF_OF_REMAINING_TIME);
        assertThat(attemptTimeout(RequestKind.LOOKUP, 2)).isEqualTo(REMAINING_TIME);
    }

    @Test
    void shouldUseAllRemainingTimeWhenTheRequestIsNotALookup() {
        assertThat(attemptTimeout(RequestKind.BOOKING, 1)).isEqualTo(REMAINING_TIME);
        assertThat(attemptTimeout(RequestKind.DOWNLOAD, 1)).isEqualTo(REMAINING_TIME);
    }

    private static Duration attemptTimeout(RequestKind kind, int attempt) {
        RoutedRequest request = new RoutedRequest(
                "GET",
                "/path",
                List.of(),
                new byte[0],
                routingEntry(kind),
                DeadlineBudget.of(() -> 0, REMAINING_TIME),
                RetryAllowance.of(1),
                Fingerprint.of("0".repeat(32)),
                Optional.empty());
        OutboundRequest outboundRequest = request.toGuard(new RequestAction.Send(attempt, false, RetryAllowance.of(0)));
        assertThat(HeaderField.find(outboundRequest.headers(), ProxyHeaders.DEADLINE))
                .isEqualTo(Optional.of(
                        Long.toString(outboundRequest.responseTimeout().toMillis())));
        return outboundRequest.responseTimeout();
    }

    private static RoutingTable.Entry routingEntry(RequestKind kind) {
        Service service = Service.of("service", 1, 1);
        TrafficPolicy policy = new TrafficPolicy(TrafficPolicyName.of("policy"), 2_000, 2, 20, 0, 0, 0, 0);
        Route route = Route.of(RouteName.of("route"), "/", List.of("GET"), service.name(), kind, policy.name());
        return new RoutingTable.Entry(route, service, policy, List.of());
    }
}
