package org.oleanderturn.membership;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Objects;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;

/**
 * A message between members, or its answer.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(GossipMessage.Ping.class),
    @JsonSubTypes.Type(GossipMessage.PingRequest.class),
    @JsonSubTypes.Type(GossipMessage.Acknowledge.class),
    @JsonSubTypes.Type(GossipMessage.SyncRequest.class),
    @JsonSubTypes.Type(GossipMessage.SyncAnswer.class),
    @JsonSubTypes.Type(GossipMessage.BucketRequest.class),
    @JsonSubTypes.Type(GossipMessage.BucketAnswer.class),
    @JsonSubTypes.Type(GossipMessage.Announce.class)
})
public sealed interface GossipMessage {

    /** Returns the part that is common to all messages. */
    GossipHeader header();

    /** Returns the configuration version that the sender holds. */
    default ConfigurationVersion heldVersion() {
        return header().sender().heldVersion();
    }

    /** Probes a node; answered by an {@link Acknowledge}. */
    record Ping(GossipHeader header) implements GossipMessage {}

    /** Asks a node to ping another one; the {@link Acknowledge} tells whether that node answered. */
    record PingRequest(GossipHeader header, NodeId target, Address controlAddress) implements GossipMessage {

        /** Rejects a null target or address. */
        public PingRequest {
            Objects.requireNonNull(target, "target is null");
            Objects.requireNonNull(controlAddress, "controlAddress is null");
        }
    }

    /**
     * Answers a ping, a ping request or an announcement.
     *
     * @param isReached false if the target of a ping request did not answer; true in all other cases
     */
    record Acknowledge(GossipHeader header, boolean isReached) implements GossipMessage {}

    /** Starts a synchronization: asks whether the receiver's table has the given digest. */
    record SyncRequest(GossipHeader header, int digest, List<ZoneFloor> floors) implements GossipMessage {

        /** Copies the floors. */
        public SyncRequest {
            floors = List.copyOf(floors);
        }
    }

    /** Answers with the digest of each bucket; with an empty list if the tables are equal. */
    record SyncAnswer(GossipHeader header, List<Integer> digests, List<ZoneFloor> floors) implements GossipMessage {

        /** Copies the digests and the floors. */
        public SyncAnswer {
            digests = List.copyOf(digests);
            floors = List.copyOf(floors);
        }
    }

    /** Sends the sender's records in the given buckets and asks for the receiver's. */
    record BucketRequest(GossipHeader header, List<Integer> buckets, List<GossipRecord> records)
            implements GossipMessage {

        /** Copies the buckets and the records. */
        public BucketRequest {
            buckets = List.copyOf(buckets);
            records = List.copyOf(records);
        }
    }

    /** Returns those records of the requested buckets that the requester does not have. */
    record BucketAnswer(GossipHeader header, List<GossipRecord> records) implements GossipMessage {

        /** Copies the records. */
        public BucketAnswer {
            records = List.copyOf(records);
        }
    }

    /** Announces a changed record that must not wait for gossip. */
    record Announce(GossipHeader header, GossipRecord subject, boolean isForwarded) implements GossipMessage {

        /** Rejects a null subject. */
        public Announce {
            Objects.requireNonNull(subject, "subject is null");
        }
    }
}
