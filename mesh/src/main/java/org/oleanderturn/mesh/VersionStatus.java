package org.oleanderturn.mesh;

import org.oleanderturn.model.ConfigurationVersion;

/**
 * What a node knows of whether a version of the configuration is the newest one in force.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface VersionStatus {

    /** No newer version had been accepted a moment ago. */
    record Newest() implements VersionStatus {}

    /** There is a newer version, which this node does not hold yet. */
    record Behind(ConfigurationVersion newest) implements VersionStatus {}

    /** Neither the platform's store nor a relay could tell. */
    record Unconfirmed() implements VersionStatus {}
}
