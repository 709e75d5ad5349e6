package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.Proposal;
import org.oleanderturn.model.ProposalId;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.model.TrafficPolicy;
import org.oleanderturn.model.TrafficPolicyName;

/**
 * Configurations with 170 services and two routes per service. Consecutive ones differ in the slot limit of one service.
 *
 * <p>Pure functions. Thread safe.
 */
final class BenchConfiguration {
    static final int SERVICES = 170;

    private static final int CONNECTIONS = 130;
    private static final int SLOTS = 20;
    private static final int SLOT_STEPS = 50;

    private BenchConfiguration() {}

    /** Returns the configuration after the given number of changes. */
    static Configuration after(int changes) {
        List<Service> services = new ArrayList<>();
        List<Route> routes = new ArrayList<>();
        for (int number = 0; number < SERVICES; number++) {
            String name = "service-" + number;
            services.add(Service.of(name, slots(number, changes), CONNECTIONS));
            routes.add(route(name, "lookup", "GET", RequestKind.LOOKUP));
            routes.add(route(name, "booking", "POST", RequestKind.BOOKING));
        }
        return Configuration.of(services, routes, List.of(policy("lookup"), policy("booking")));
    }

    /** Returns the proposal for the given change; each change has its own proposal id. */
    static Proposal proposal(int change) {
        return new Proposal(ProposalId.of("bench-" + change), Optional.empty(), true, after(change));
    }

    private static int slots(int service, int changes) {
        int applied = changes / SERVICES + (service < changes % SERVICES ? 1 : 0);
        return SLOTS + applied % SLOT_STEPS;
    }

    private static Route route(String service, String policy, String method, RequestKind kind) {
        return Route.of(
                RouteName.of(service + "-" + policy),
                "/" + service,
                List.of(method),
                ServiceName.of(service),
                kind,
                TrafficPolicyName.of(policy));
    }

    private static TrafficPolicy policy(String name) {
        boolean isBooking = name.equals("booking");
        return new TrafficPolicy(
                TrafficPolicyName.of(name), 2_000, isBooking ? 1 : 3, 20, isBooking ? 0 : 95, 5, 20, 40);
    }
}
