package org.oleanderturn.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.Objects;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;

/**
 * The version that a node holds in one incarnation, on its way to another member; encoded as a list without names.
 *
 * <p>Immutable and thread safe.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({"node", "incarnation", "version"})
public record HeldVersion(NodeId node, long incarnation, ConfigurationVersion version) {
    private static final int FIXED_BYTES = 24;

    /** Checks that every part is there. */
    public HeldVersion {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(version, "version is null");
    }

    static HeldVersion of(MemberRecord record) {
        return new HeldVersion(record.node(), record.incarnation(), record.heldVersion());
    }

    /** Returns a bound on the bytes of the encoding. */
    int maximumEncodedBytes() {
        return FIXED_BYTES + node.value().length();
    }
}
