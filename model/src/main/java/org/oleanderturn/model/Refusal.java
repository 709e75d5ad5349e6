package org.oleanderturn.model;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * The reason why a proposal was refused.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface Refusal {

    /** The configuration is invalid. */
    record Invalid(List<ConfigurationFault> faults) implements Refusal {

        /** Copies the list; throws {@link NullPointerException} if it is null. */
        public Invalid {
            faults = List.copyOf(faults);
        }
    }

    /**
     * The current version is not the expected one, and the change could not be rebased.
     *
     * @param paths the objects that changed since the expected version, or those of them that conflict with the change;
     *     empty when the expected version is unknown
     */
    record VersionConflict(ConfigurationVersion expected, ConfigurationVersion current, List<String> paths)
            implements Refusal {

        /** Copies the list; throws {@link NullPointerException} if it is null. */
        public VersionConflict {
            paths = List.copyOf(paths);
        }
    }

    /** The id was already used for another configuration. */
    record IdReused() implements Refusal {}

    /** The platform's store is unreachable or refused the call. */
    record PlatformUnavailable(String reason, long retryAfterMilliseconds) implements Refusal {}

    /** The response to the write was lost, and a later write ensured that the lost one can never take effect. */
    record Fenced() implements Refusal {}

    /** Concurrent changes won every compare-and-swap against this one. */
    record Contention(long retryAfterMilliseconds) implements Refusal {}
}
