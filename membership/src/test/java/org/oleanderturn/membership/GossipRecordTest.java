package org.oleanderturn.membership;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.AvailabilityZone;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Region;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.model.SoftwareVersion;

/** Guards what nodes exchange about each other against a change that nodes of another release could not read. */
final class GossipRecordTest {
    private static final Address ADDRESS = Address.of("10.0.0.1", 80);

    /** The record as releases have it that do not know versions of targets. */
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
    record EarlierRecord(
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
            long ageSeconds) {}

    private static final EarlierRecord EARLIER = new EarlierRecord(
            NodeId.of("node"),
            ADDRESS,
            ADDRESS,
            Region.of("south"),
            AvailabilityZone.of("zone"),
            ServiceName.of("service"),
            6,
            EndpointState.READY,
            7,
            ConfigurationVersion.of(3),
            ConfigurationVersion.of(4),
            Liveness.ALIVE,
            5);

    private static GossipRecord gossip(Optional<SoftwareVersion> version) {
        Endpoint endpoint = new Endpoint(
                NodeId.of("node"),
                ADDRESS,
                Locality.of("south", "zone"),
                ServiceName.of("service"),
                6,
                EndpointState.READY,
                7,
                version);
        MemberRecord member = MemberRecord.of(endpoint, ADDRESS).withHeldVersion(ConfigurationVersion.of(3));
        return GossipRecord.of(member, ConfigurationVersion.of(4), 5);
    }

    @Test
    void shouldEncodeTheBytesOfEarlierReleasesWhenThereIsNoVersion() {
        byte[] encoded = Codec.messagePack().encode(gossip(Optional.empty()));
        assertThat(encoded).isEqualTo(Codec.messagePack().encode(EARLIER));
        assertThat(Codec.messagePack().decode(encoded, GossipRecord.class).get())
                .isEqualTo(gossip(Optional.empty()));
    }

    @Test
    void shouldDecodeTheVersionWhenTheRecordHasOne() {
        GossipRecord gossip = gossip(Optional.of(SoftwareVersion.of("v\u00e9-2")));
        byte[] encoded = Codec.messagePack().encode(gossip);
        assertThat(encoded.length).isAtMost(gossip.maximumEncodedBytes());
        assertThat(Codec.messagePack().decode(encoded, GossipRecord.class).get())
                .isEqualTo(gossip);
        assertThat(gossip.toRecord().endpoint().version()).isEqualTo(gossip.version());
    }

    /** A record that replaced only the version in the same incarnation would be lost in a merge with the one before. */
    @Test
    void shouldPreferTheNewVersionInAnyOrderOfMergesWhenATargetIsReplaced() {
        MemberRecord before = gossip(Optional.of(SoftwareVersion.of("v1"))).toRecord();
        MemberRecord after = before.withVersion(SoftwareVersion.of("v2"));
        assertThat(before.merge(after)).isEqualTo(after);
        assertThat(after.merge(before)).isEqualTo(after);
        assertThat(after.withState(EndpointState.DRAINING).endpoint().version())
                .isEqualTo(Optional.of(SoftwareVersion.of("v2")));
    }
}
