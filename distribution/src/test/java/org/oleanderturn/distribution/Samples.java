package org.oleanderturn.distribution;

import java.math.BigInteger;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;
import org.oleanderturn.model.Configuration;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Proposal;
import org.oleanderturn.model.ProposalId;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.model.Service;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.model.TrafficPolicy;
import org.oleanderturn.model.TrafficPolicyName;

/** Configurations, snapshots and proposals shared by the tests. */
final class Samples {
    static final TrafficPolicy POLICY =
            new TrafficPolicy(TrafficPolicyName.of("standard"), 2_000, 2, 10, 95, 5, 20, 25);

    private static final Map<Long, ConfigurationSnapshot> SNAPSHOTS = new ConcurrentHashMap<>();

    private Samples() {}

    static Configuration services(int bookingsSlots, int docsSlots) {
        return Configuration.of(
                List.of(Service.of("bookings", bookingsSlots, 120), Service.of("docs", docsSlots, 120)),
                List.of(),
                List.of(POLICY));
    }

    /** Returns a configuration with the given number of services, each with a route. */
    static Configuration manyServices(int count) {
        return Configuration.of(
                IntStream.range(0, count)
                        .mapToObj(number -> Service.of("service-" + number, 10, 120))
                        .toList(),
                IntStream.range(0, count)
                        .mapToObj(number -> route("service-" + number))
                        .toList(),
                List.of(POLICY));
    }

    /** Returns a configuration with the given number of services, whose random names do not compress. */
    static Configuration incompressible(int count) {
        Random random = new Random(7);
        return Configuration.of(
                IntStream.range(0, count)
                        .mapToObj(number ->
                                Service.of(new BigInteger(300, random).toString(Character.MAX_RADIX), 10, 120))
                        .toList(),
                List.of(),
                List.of());
    }

    static Route route(String service) {
        return Route.of(
                RouteName.of(service),
                "/" + service,
                List.of("GET"),
                ServiceName.of(service),
                RequestKind.LOOKUP,
                POLICY.name());
    }

    static ConfigurationSnapshot snapshot(long version) {
        return SNAPSHOTS.computeIfAbsent(
                version,
                number ->
                        ConfigurationSnapshot.of(ConfigurationVersion.of(number), services(number.intValue() + 1, 10)));
    }

    static Proposal proposal(String id, Configuration configuration) {
        return new Proposal(ProposalId.of(id), Optional.empty(), false, configuration);
    }

    static Proposal proposalBasedOn(long version, boolean isRebaseAllowed, String id, Configuration configuration) {
        return new Proposal(
                ProposalId.of(id), Optional.of(ConfigurationVersion.of(version)), isRebaseAllowed, configuration);
    }
}
