package org.oleanderturn.distribution;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;

/**
 * Whether a node may serve requests with the configuration that it holds, and if not, why.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface Readiness {

    /** The node may serve with the version that it holds. */
    record Ready(ConfigurationVersion held) implements Readiness {}

    /** The held version is older than the lowest one that the node may serve with. */
    record Behind(ConfigurationVersion held, ConfigurationVersion floor) implements Readiness {}

    /** Some reachable peers in the zone have not reported their versions yet. */
    record Asking(List<NodeId> unanswered) implements Readiness {

        /** Copies the list; throws {@link NullPointerException} if it is null. */
        public Asking {
            unanswered = List.copyOf(unanswered);
        }
    }

    /** Neither the platform's store nor a ready peer has confirmed which version is in force. */
    record NoEvidence() implements Readiness {}

    /** Returns whether the node may serve requests. */
    default boolean isReady() {
        return this instanceof Ready;
    }
}
