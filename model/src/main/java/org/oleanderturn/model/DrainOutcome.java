package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * The outcome of an operator's request to drain a node or to end its drain.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface DrainOutcome {

    /** The node applied the request and is now in the given state. */
    record Applied(NodeId node, EndpointState state) implements DrainOutcome {}

    /** The node that received the request does not know the named node; nothing was changed. */
    record UnknownNode(NodeId node) implements DrainOutcome {}

    /** The named node could not be reached; nothing was changed. */
    record Unreachable(NodeId node, String reason) implements DrainOutcome {}

    /** The response of the named node was lost; the request may have been applied. */
    record Undetermined(NodeId node, String reason) implements DrainOutcome {}
}
