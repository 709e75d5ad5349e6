package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * What became of an operator's request to drain a node or to end its drain.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface DrainOutcome {

    /** The node took the request; its state from now on. */
    record Applied(NodeId node, EndpointState state) implements DrainOutcome {}

    /** The node that was asked knows no such node; nothing was done. */
    record UnknownNode(NodeId node) implements DrainOutcome {}

    /** The node could not be reached; nothing was done. */
    record Unreachable(NodeId node, String reason) implements DrainOutcome {}

    /** The node's answer was lost; the request may have been taken. */
    record Undetermined(NodeId node, String reason) implements DrainOutcome {}
}
