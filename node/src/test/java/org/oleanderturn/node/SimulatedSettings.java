package org.oleanderturn.node;

import java.util.List;
import java.util.Optional;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.AvailabilityZone;
import org.oleanderturn.model.DurationText;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Region;
import org.oleanderturn.model.ServiceName;

/** The settings of simulated nodes. Stateless and thread safe. */
final class SimulatedSettings {
    static final int TARGET_PORT = 3;

    private static final int PEER_PORT = 1;
    private static final int CONTROL_PORT = 2;
    private static final int OTHER_PORT = 4;
    private static final String PLATFORM_REGION = "south";

    private SimulatedSettings() {}

    /**
     * What differs from the usual settings.
     *
     * @param linkRate the rate of the hosts' links, in megabits per second, which their nodes know
     * @param placement how entries choose targets
     */
    record Variant(Optional<Double> linkRate, Optional<NodeSettings.Placement> placement) {
        static Variant usual() {
            return new Variant(Optional.empty(), Optional.empty());
        }

        static Variant withLink(double rate) {
            return new Variant(Optional.of(rate), Optional.empty());
        }

        static Variant placedBy(NodeSettings.Placement placement) {
            return new Variant(Optional.empty(), Optional.of(placement));
        }
    }

    /** Returns the settings of a node, which tells its number by its addresses. */
    static NodeSettings of(int number, String node, int zones, ServiceName service) {
        return of(number, node, zones, service, Variant.usual());
    }

    /** Returns the settings of a node with what differs from the usual ones. */
    static NodeSettings of(int number, String node, int zones, ServiceName service, Variant variant) {
        String address = "10.0.0." + number;
        Address other = Address.of(address, OTHER_PORT);
        NodeSettings.Mesh mesh = new NodeSettings.Mesh(
                other,
                other,
                DurationText.of("1500ms"),
                DurationText.of("5s"),
                new NodeSettings.RetryLimit(0.2, 60, DurationText.of("10s")),
                variant.linkRate(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                variant.placement(),
                Optional.empty());
        return new NodeSettings(
                NodeId.of(node),
                Region.of(number % 2 == 0 ? PLATFORM_REGION : "north"),
                AvailabilityZone.of("zone-" + number % zones),
                Region.of(PLATFORM_REGION),
                new NodeSettings.Listen(
                        other, Address.of(address, PEER_PORT), Address.of(address, CONTROL_PORT), other),
                new NodeSettings.Platform(other, 100, 1_000),
                new NodeSettings.Target(Address.of(address, TARGET_PORT), service, "/healthz", "/healthz"),
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Optional.of(mesh));
    }

    /** Returns the number of the node with an address. */
    static int number(Address address) {
        return Integer.parseInt(address.host().substring(address.host().lastIndexOf('.') + 1));
    }
}
