package org.oleanderturn.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.Objects;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;

/**
 * The configuration version that a node holds in one incarnation, as sent between members. Encoded as an array without
 * field names.
 *
 * <p>Immutable and thread safe.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"node", "incarnation", "version"})
public record HeldVersion(NodeId node, long incarnation, ConfigurationVersion version) {
    /** Upper bound of the encoded size without the node's name. */
    private static final int FIXED_BYTES = 24;

    /** Rejects a null node or version. */
    public HeldVersion {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(version, "version is null");
    }

    static HeldVersion of(MemberRecord record) {
        return new HeldVersion(record.node(), record.incarnation(), record.heldVersion());
    }

    /** Returns an upper bound of the encoded size, in bytes. */
    int maximumEncodedBytes() {
        return FIXED_BYTES + node.value().length();
    }
}
