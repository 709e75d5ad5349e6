package org.oleanderturn.membership;

import org.oleanderturn.model.Address;

/** Why a message to another member received no usable answer. Immutable and thread safe. */
public sealed interface GossipFailure {

    /** The message was not delivered. */
    record Unreachable(Address controlAddress, String reason) implements GossipFailure {}

    /** The message was sent but no answer arrived; the member may have received it. */
    record AnswerLost(Address controlAddress, String reason) implements GossipFailure {}

    /** The answer could not be decoded or is not a membership message. */
    record Malformed(Address controlAddress, String reason) implements GossipFailure {}
}
