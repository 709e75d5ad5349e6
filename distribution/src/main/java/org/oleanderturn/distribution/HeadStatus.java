package org.oleanderturn.distribution;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.oleanderturn.model.ConfigurationVersion;

/**
 * What this node last saw of the head in the platform's store, for the state dump.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface HeadStatus {

    /** This node has not read the head. */
    record NotRead() implements HeadStatus {}

    /** The head is what this node holds. */
    record InStep(ConfigurationVersion version) implements HeadStatus {}

    /** The head is older than what this node holds: the store was restored. The node keeps what it holds. */
    record StoreBehind(ConfigurationVersion head, ConfigurationVersion held) implements HeadStatus {}

    /** The head was kept out; the adoption status says why. */
    record HeadRejected(ConfigurationVersion head, ConfigurationVersion held) implements HeadStatus {}

    /** The head could not be read. */
    record Unavailable(String reason) implements HeadStatus {}
}
