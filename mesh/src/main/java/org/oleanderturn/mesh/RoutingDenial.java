package org.oleanderturn.mesh;

import java.util.Objects;
import org.oleanderturn.model.ConfigurationVersion;

/** Why a request is not routed. Implementations are immutable and thread safe. */
sealed interface RoutingDenial {

    /** Returns the version of the configuration by which the request is not routed. */
    ConfigurationVersion version();

    /** Returns why, as the response states it. */
    String reason();

    /** The newest version in force does not allow the request. */
    record Forbidden(int status, String reason, ConfigurationVersion version) implements RoutingDenial {
        /** Throws a {@link NullPointerException} when a component is null. */
        public Forbidden {
            Objects.requireNonNull(reason, "reason is null");
            Objects.requireNonNull(version, "version is null");
        }
    }

    /** The node can't tell whether the newest version in force allows the request. */
    record Undetermined(String reason, ConfigurationVersion version) implements RoutingDenial {
        /** Throws a {@link NullPointerException} when a component is null. */
        public Undetermined {
            Objects.requireNonNull(reason, "reason is null");
            Objects.requireNonNull(version, "version is null");
        }
    }
}
