package org.oleanderturn.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.fasterxml.jackson.databind.annotation.JsonSerialize;
import java.util.Optional;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.AvailabilityZone;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Region;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.model.SoftwareVersion;

/**
 * A member's record as sent between members. Encoded as an array without field names, whose last element is left out where
 * there is no version: nodes of releases that do not know it refuse a message with a longer array.
 *
 * <p>Immutable and thread safe.
 *
 * @param rememberedVersion the highest configuration version that the node is known to have held, in any incarnation
 * @param ageSeconds how long ago the liveness changed, as known to the sender; 0 for reachable members. Prevents the
 *     retention of tombstones from starting again at every member.
 * @param version the version of the target's software, if the node announces it
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
    "ageSeconds",
    "version"
})
@JsonSerialize(using = GossipRecordSerializer.class)
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
        long ageSeconds,
        Optional<SoftwareVersion> version) {
    /** Upper bound of the encoded size without the text fields. */
    private static final int FIXED_BYTES = 96;

    /** A version, unlike a name, may have characters beyond ASCII. */
    private static final int MAXIMUM_BYTES_PER_CHARACTER = 3;

    /** Accepts a missing version. */
    public GossipRecord {
        version = version == null ? Optional.empty() : version;
    }

    /** Returns the gossip record for a member's record. */
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
                Math.max(0, ageSeconds),
                endpoint.version());
    }

    /** Returns the member's record without the sender's bookkeeping. */
    public MemberRecord toRecord() {
        Endpoint endpoint =
                new Endpoint(node, address, new Locality(region, zone), service, slots, state, incarnation, version);
        return new MemberRecord(endpoint, controlAddress, heldVersion, liveness);
    }

    /** Returns an upper bound of the encoded size, in bytes. */
    int maximumEncodedBytes() {
        return FIXED_BYTES
                + node.value().length()
                + address.toString().length()
                + controlAddress.toString().length()
                + region.value().length()
                + zone.value().length()
                + service.value().length()
                + version.map(known -> known.value().length() * MAXIMUM_BYTES_PER_CHARACTER)
                        .orElse(0);
    }
}
