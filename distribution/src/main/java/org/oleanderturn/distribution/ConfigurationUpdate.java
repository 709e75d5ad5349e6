package org.oleanderturn.distribution;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.oleanderturn.model.ConfigurationDelta;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;

/**
 * What one node tells another of the configuration.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface ConfigurationUpdate {

    /** The sender holds this version; the content is not needed, or is to be asked for. */
    record Current(ConfigurationVersion version) implements ConfigurationUpdate {}

    /** What changed since a version that the receiver holds. */
    record Delta(ConfigurationDelta delta) implements ConfigurationUpdate {}

    /** The whole configuration. */
    record Snapshot(ConfigurationSnapshot snapshot) implements ConfigurationUpdate {}

    /** The sender has served as many snapshots as it may for now. */
    record Busy(long retryAfterMilliseconds) implements ConfigurationUpdate {}
}
