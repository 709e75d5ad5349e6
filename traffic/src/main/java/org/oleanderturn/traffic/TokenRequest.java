package org.oleanderturn.traffic;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.OrganisationName;

/**
 * Asks a holder for tokens, and may delegate the sender's right to generate tokens to it.
 *
 * <p>Encoded as an array, since nodes send several a second. Immutable and thread safe.
 *
 * @param node the sender
 * @param right the right that the sender delegates; empty when it delegates none
 * @param needed the organisation that a request waits for, for which the holder borrows; empty when none waits
 * @param wanted the tokens that the sender wants, by organisation; the needed one is left out when one token is enough
 * @param isBorrowing whether the sender is a holder itself, for which the receiver does not borrow in turn
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TokenRequest(
        NodeId node,
        Optional<Right> right,
        Optional<OrganisationName> needed,
        Map<OrganisationName, Integer> wanted,
        boolean isBorrowing) {

    /** Copies the map; throws a {@link NullPointerException} when a component is null. */
    public TokenRequest {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(right, "right is null");
        Objects.requireNonNull(needed, "needed is null");
        wanted = Map.copyOf(wanted);
    }

    /** Returns whether a single token of an organisation is asked for, which is valid for a shorter time. */
    boolean isSingle(OrganisationName organisation) {
        return !wanted.containsKey(organisation);
    }

    /** Returns all tokens that the sender wants, by organisation. */
    Map<OrganisationName, Integer> allWanted() {
        Map<OrganisationName, Integer> all = new HashMap<>(wanted);
        needed.ifPresent(organisation -> all.putIfAbsent(organisation, 1));
        return all;
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
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    public record Right(int epoch, long stamp, int members) {}
}
