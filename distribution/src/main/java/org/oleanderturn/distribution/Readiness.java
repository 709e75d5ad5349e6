package org.oleanderturn.distribution;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;

/**
 * Whether a node may serve with the configuration that it holds.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface Readiness {

    /** The node holds a version that no one is known to have been ahead of. */
    record Ready(ConfigurationVersion held) implements Readiness {}

    /** The node holds an older version than the one it has to catch up with. */
    record Behind(ConfigurationVersion held, ConfigurationVersion floor) implements Readiness {}

    /** Some reachable peers of the zone have not said yet what they remember. */
    record Asking(List<NodeId> unanswered) implements Readiness {

        /** Copies the ids. */
        public Asking {
            unanswered = List.copyOf(unanswered);
        }
    }

    /** Neither the platform's store nor a ready peer has said which version is in force. */
    record NoEvidence() implements Readiness {}

    /** Returns whether the node may serve. */
    default boolean isReady() {
        return this instanceof Ready;
    }
}
