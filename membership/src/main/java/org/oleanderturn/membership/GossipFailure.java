package org.oleanderturn.membership;

import org.oleanderturn.model.Address;

/** Why a message to another member brought no answer. Immutable and thread safe. */
public sealed interface GossipFailure {

    /** The message was not delivered. */
    record Unreachable(Address controlAddress, String reason) implements GossipFailure {}

    /** The message was sent, and no answer arrived; it may have been received. */
    record AnswerLost(Address controlAddress, String reason) implements GossipFailure {}

    /** The answer was not understood. */
    record Malformed(Address controlAddress, String reason) implements GossipFailure {}
}
