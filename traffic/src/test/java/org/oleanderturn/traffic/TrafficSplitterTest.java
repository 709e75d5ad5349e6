package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.model.TrafficPolicyName;
import org.oleanderturn.model.WeightedService;

final class TrafficSplitterTest {
    private static final ServiceName FIRST = ServiceName.of("first");
    private static final ServiceName SECOND = ServiceName.of("second");

    private final TrafficSplitter splitter = TrafficSplitter.create();

    @Test
    void shouldMatchTheWeightsExactlyWhenARoundIsComplete() {
        Map<ServiceName, Integer> counts = count(route(90, 10), 100);
        assertThat(counts).containsExactly(FIRST, 90, SECOND, 10);
    }

    @Test
    void shouldUseNewWeightsImmediatelyWhenTheyChange() {
        count(route(100, 0), 33);
        assertThat(count(route(0, 100), 10)).containsExactly(SECOND, 10);
    }

    private Map<ServiceName, Integer> count(Route route, int requests) {
        Map<ServiceName, Integer> counts = new HashMap<>();
        for (int request = 0; request < requests; request++) {
            counts.merge(splitter.chooseService(route), 1, Integer::sum);
        }
        return counts;
    }

    private static Route route(int first, int second) {
        return new Route(
                RouteName.of("route"),
                "/",
                List.of(),
                FIRST,
                RequestKind.LOOKUP,
                TrafficPolicyName.of("policy"),
                Optional.of("host.example"),
                Optional.of(List.of(new WeightedService(FIRST, first), new WeightedService(SECOND, second))),
                Optional.empty(),
                Optional.empty());
    }
}
