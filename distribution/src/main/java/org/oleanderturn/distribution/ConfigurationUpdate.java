package org.oleanderturn.distribution;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.oleanderturn.model.ConfigurationDelta;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;

/**
 * A configuration update sent from one node to another.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface ConfigurationUpdate {

    /** Only the version that the sender holds; a receiver with an older version fetches the content. */
    record Current(ConfigurationVersion version) implements ConfigurationUpdate {}

    /** The changes since a version that the receiver is expected to hold. */
    record Delta(ConfigurationDelta delta) implements ConfigurationUpdate {}

    /** The full configuration. */
    record Snapshot(ConfigurationSnapshot snapshot) implements ConfigurationUpdate {}

    /** The sender has reached its rate limit for snapshots; the receiver retries after the given delay. */
    record Busy(long retryAfterMilliseconds) implements ConfigurationUpdate {}
}
