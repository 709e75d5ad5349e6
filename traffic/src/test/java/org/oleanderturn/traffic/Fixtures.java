package org.oleanderturn.traffic;

import java.util.List;
import java.util.stream.IntStream;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.RoutingTable;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.model.TrafficPolicy;
import org.oleanderturn.model.TrafficPolicyName;

/** Values that the tests of this module share. */
final class Fixtures {
    static final Locality HOBART = Locality.of("south", "hobart");
    static final Locality HUONVILLE = Locality.of("south", "huonville");
    static final Locality LAUNCESTON = Locality.of("north", "launceston");
    static final int SLOTS = 10;

    private Fixtures() {}

    static TrafficPolicy policy() {
        return new TrafficPolicy(TrafficPolicyName.of("usual"), 1000, 3, 20, 95, 5, 20, 20);
    }

    static Endpoint endpoint(String node, Locality locality, EndpointState state) {
        return new Endpoint(
                NodeId.of(node),
                Address.of("127.0.0.1", 8080),
                locality,
                ServiceName.of("availability"),
                SLOTS,
                state,
                1);
    }

    static Endpoint ready(String node, Locality locality) {
        return endpoint(node, locality, EndpointState.READY);
    }

    static List<Endpoint> ready(int count, Locality locality) {
        return IntStream.range(0, count)
                .mapToObj(number -> ready("node-" + locality.zone().value() + "-" + number, locality))
                .toList();
    }

    static RoutingTable.Entry entry(RequestKind kind, List<Endpoint> endpoints) {
        Route route = Route.of(
                RouteName.of("lookups"),
                "/",
                List.of("GET"),
                ServiceName.of("availability"),
                kind,
                TrafficPolicyName.of("usual"));
        return new RoutingTable.Entry(route, Service.of("availability", SLOTS, 120), policy(), endpoints);
    }
}
