package org.oleanderturn.distribution;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.oleanderturn.model.ConfigurationFault;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;

/**
 * The result of offering a configuration to a {@link ConfigurationHolder}.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface AdoptionResult {

    /** The offered version replaced an older one. */
    record Adopted(ConfigurationVersion from, ConfigurationVersion to) implements AdoptionResult {}

    /** The offered configuration is already held. */
    record AlreadyHeld(ConfigurationVersion version) implements AdoptionResult {}

    /** The held version is newer than the offered one. */
    record Older(ConfigurationVersion offered, ConfigurationVersion held) implements AdoptionResult {}

    /** The offered delta applies to another snapshot than the held one; the full snapshot may still be adopted. */
    record OtherBase(ConfigurationVersion offered, ConfigurationVersion held) implements AdoptionResult {}

    /** The offered configuration was rejected as a whole. */
    record Rejected(ConfigurationVersion offered, Rejection rejection) implements AdoptionResult {}

    /** The reason why a configuration was rejected. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
    sealed interface Rejection {

        /** The stated digest does not match the content. */
        record NotIntact(Digest stated) implements Rejection {}

        /** The configuration is invalid. */
        record Invalid(List<ConfigurationFault> faults) implements Rejection {

            /** Copies the list; throws {@link NullPointerException} if it is null. */
            public Invalid {
                faults = List.copyOf(faults);
            }
        }

        /** The held configuration has the same version but different content. */
        record OtherContent(Digest held, Digest offered) implements Rejection {}

        /** The configuration that results from the delta does not have the stated digest. */
        record DeltaMismatch(Digest stated, Digest reached) implements Rejection {}
    }
}
