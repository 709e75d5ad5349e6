package org.oleanderturn.traffic;

import java.util.Objects;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;

/**
 * A node that may act for the limits of organisations: one that is known and has not announced that it left.
 *
 * <p>Immutable and thread safe.
 *
 * @param isReachable whether it answers
 * @param isStaying whether it does not drain, so that it may become a holder
 */
public record LimitMember(NodeId node, Locality locality, boolean isReachable, boolean isStaying) {

    /** Throws a {@link NullPointerException} when a component is null. */
    public LimitMember {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(locality, "locality is null");
    }
}
