package org.oleanderturn.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.AvailabilityZone;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Region;
import org.oleanderturn.model.ServiceName;

/**
 * A member's record on its way to another member, encoded as a list without names.
 *
 * <p>Immutable and thread safe.
 *
 * @param rememberedVersion the highest version that the node was ever known to hold, in any incarnation
 * @param ageSeconds how long the liveness has stood, as the sender knows; keeps tombstones from starting anew
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({
    "node",
    "address",
    "controlAddress",
    "region",
    "zone",
    "service",
    "slots",
    "state",
    "incarnation",
    "heldVersion",
    "rememberedVersion",
    "liveness",
    "ageSeconds"
})
public record GossipRecord(
        NodeId node,
        Address address,
        Address controlAddress,
        Region region,
        AvailabilityZone zone,
        ServiceName service,
        int slots,
        EndpointState state,
        long incarnation,
        ConfigurationVersion heldVersion,
        ConfigurationVersion rememberedVersion,
        Liveness liveness,
        long ageSeconds) {
    private static final int FIXED_BYTES = 96;

    /** Returns the delta that carries a record. */
    static GossipRecord of(MemberRecord record, ConfigurationVersion remembered, long ageSeconds) {
        Endpoint endpoint = record.endpoint();
        return new GossipRecord(
                endpoint.node(),
                endpoint.address(),
                record.controlAddress(),
                endpoint.locality().region(),
                endpoint.locality().zone(),
                endpoint.service(),
                endpoint.slots(),
                endpoint.state(),
                endpoint.incarnation(),
                record.heldVersion(),
                remembered,
                record.liveness(),
                Math.max(0, ageSeconds));
    }

    /** Returns the record that the delta carries. */
    public MemberRecord toRecord() {
        Endpoint endpoint = new Endpoint(node, address, new Locality(region, zone), service, slots, state, incarnation);
        return new MemberRecord(endpoint, controlAddress, heldVersion, liveness);
    }

    /** Returns a bound on the bytes of the encoding. */
    int maximumEncodedBytes() {
        return FIXED_BYTES
                + node.value().length()
                + address.toString().length()
                + controlAddress.toString().length()
                + region.value().length()
                + zone.value().length()
                + service.value().length();
    }
}
