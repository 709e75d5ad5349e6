package org.oleanderturn.membership;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Objects;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;

/**
 * A message between members, or the answer to one.
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

    /** Returns what every message carries. */
    GossipHeader header();

    /** Returns the version that the sender holds. */
    default ConfigurationVersion heldVersion() {
        return header().sender().heldVersion();
    }

    /** Asks a node for an {@link Acknowledge}. */
    record Ping(GossipHeader header) implements GossipMessage {}

    /** Asks a node to ping another one; the {@link Acknowledge} says whether that one answered. */
    record PingRequest(GossipHeader header, NodeId target, Address controlAddress) implements GossipMessage {

        /** Checks that the target is there. */
        public PingRequest {
            Objects.requireNonNull(target, "target is null");
            Objects.requireNonNull(controlAddress, "controlAddress is null");
        }
    }

    /** Answers a ping, a ping request or an announcement. */
    record Acknowledge(GossipHeader header, boolean isReached) implements GossipMessage {}

    /** Asks whether the receiver's table has the given digest. */
    record SyncRequest(GossipHeader header, int digest, List<ZoneFloor> floors) implements GossipMessage {

        /** Copies the floors. */
        public SyncRequest {
            floors = List.copyOf(floors);
        }
    }

    /** Answers with the digests of the buckets; with none when the tables are the same. */
    record SyncAnswer(GossipHeader header, List<Integer> digests, List<ZoneFloor> floors) implements GossipMessage {

        /** Copies the digests and the floors. */
        public SyncAnswer {
            digests = List.copyOf(digests);
            floors = List.copyOf(floors);
        }
    }

    /** Brings the sender's records of some buckets and asks for the receiver's. */
    record BucketRequest(GossipHeader header, List<Integer> buckets, List<GossipRecord> records)
            implements GossipMessage {

        /** Copies the buckets and the records. */
        public BucketRequest {
            buckets = List.copyOf(buckets);
            records = List.copyOf(records);
        }
    }

    /** Brings the records of some buckets that the asker does not have. */
    record BucketAnswer(GossipHeader header, List<GossipRecord> records) implements GossipMessage {

        /** Copies the records. */
        public BucketAnswer {
            records = List.copyOf(records);
        }
    }

    /** Tells at once of a change that can't wait for gossip. */
    record Announce(GossipHeader header, GossipRecord subject, boolean isForwarded) implements GossipMessage {

        /** Checks that the subject is there. */
        public Announce {
            Objects.requireNonNull(subject, "subject is null");
        }
    }
}
