package org.oleanderturn.distribution;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.oleanderturn.model.ConfigurationFault;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;

/**
 * What a {@link ConfigurationHolder} made of a configuration offered to it.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface AdoptionResult {

    /** The offered version is now held. */
    record Adopted(ConfigurationVersion from, ConfigurationVersion to) implements AdoptionResult {}

    /** The offered configuration is the one held. */
    record AlreadyHeld(ConfigurationVersion version) implements AdoptionResult {}

    /** A newer version than the offered one is held. */
    record Older(ConfigurationVersion offered, ConfigurationVersion held) implements AdoptionResult {}

    /** The offered delta starts from another snapshot than the one held; the whole snapshot may still fit. */
    record OtherBase(ConfigurationVersion offered, ConfigurationVersion held) implements AdoptionResult {}

    /** The offered configuration is kept out whole. */
    record Rejected(ConfigurationVersion offered, Rejection rejection) implements AdoptionResult {}

    /** Why a configuration is kept out. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
    sealed interface Rejection {

        /** The stated digest is not that of the content. */
        record NotIntact(Digest stated) implements Rejection {}

        /** The configuration has faults. */
        record Invalid(List<ConfigurationFault> faults) implements Rejection {

            /** Copies the faults. */
            public Invalid {
                faults = List.copyOf(faults);
            }
        }

        /** The held version has the same number and another content. */
        record OtherContent(Digest held, Digest offered) implements Rejection {}

        /** The delta leads from what is held to another configuration than it states. */
        record DeltaMismatch(Digest stated, Digest reached) implements Rejection {}
    }
}
