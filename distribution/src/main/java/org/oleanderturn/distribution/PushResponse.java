package org.oleanderturn.distribution;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;

/**
 * A node's response to an update that was pushed to it.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface PushResponse {

    /** The node adopted the update and now holds the given version. */
    record Adopted(ConfigurationVersion held) implements PushResponse {}

    /** The node already held that version or a newer one. */
    record AlreadyHeld(ConfigurationVersion held) implements PushResponse {}

    /** The node holds the given older version and could not apply the update to it. */
    record Behind(ConfigurationVersion held, Digest digest) implements PushResponse {}

    /** The node rejected the update and still holds the given version. */
    record Rejected(ConfigurationVersion held) implements PushResponse {}
}
