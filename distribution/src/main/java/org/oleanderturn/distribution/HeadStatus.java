package org.oleanderturn.distribution;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.oleanderturn.model.ConfigurationVersion;

/**
 * The result of this node's last read of the head in the platform's store, for the state dump.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface HeadStatus {

    /** This node has not read the head yet. */
    record NotRead() implements HeadStatus {}

    /** This node holds the version of the head. */
    record InStep(ConfigurationVersion version) implements HeadStatus {}

    /** The head is older than the held version, because the store was restored. The node keeps the held version. */
    record StoreBehind(ConfigurationVersion head, ConfigurationVersion held) implements HeadStatus {}

    /** The node rejected the head; {@link AdoptionStatus} has the reason. */
    record HeadRejected(ConfigurationVersion head, ConfigurationVersion held) implements HeadStatus {}

    /** The head could not be read or decoded. */
    record Unavailable(String reason) implements HeadStatus {}
}
