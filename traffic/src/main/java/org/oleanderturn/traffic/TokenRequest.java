package org.oleanderturn.traffic;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.OrganisationName;

/**
 * Asks a holder for tokens, and may delegate the sender's right to generate tokens to it.
 *
 * <p>Immutable and thread safe.
 *
 * @param node the sender
 * @param right the right that the sender delegates; empty when it delegates none
 * @param needed the organisation that a request waits for, for which the holder borrows; empty when none waits
 * @param wanted the tokens that the sender wants, by organisation
 */
public record TokenRequest(
        NodeId node, Optional<Right> right, Optional<OrganisationName> needed, Map<OrganisationName, Integer> wanted) {

    /** Copies the map; throws a {@link NullPointerException} when a component is null. */
    public TokenRequest {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(right, "right is null");
        Objects.requireNonNull(needed, "needed is null");
        wanted = Map.copyOf(wanted);
    }

    /**
     * The right of a node to generate 1/members of each limit, valid for a fixed time from a moment of the holder's clock.
     *
     * <p>Immutable and thread safe.
     *
     * @param epoch identifies the holder's pool; one that was restarted or emptied takes no right given to its predecessor
     * @param stamp a moment of the holder's clock, taken from an earlier answer, so that a late message can't extend the right
     * @param members the number of nodes that may act, as the sender knows it
     */
    public record Right(int epoch, long stamp, int members) {}
}
