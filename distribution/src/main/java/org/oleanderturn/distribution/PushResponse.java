package org.oleanderturn.distribution;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;

/**
 * A node's answer to an update that was pushed to it.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface PushResponse {

    /** The update was adopted. */
    record Adopted(ConfigurationVersion held) implements PushResponse {}

    /** The node held that version, or a newer one, before. */
    record AlreadyHeld(ConfigurationVersion held) implements PushResponse {}

    /** The node holds an older version and could not use the update; it holds what is stated. */
    record Behind(ConfigurationVersion held, Digest digest) implements PushResponse {}

    /** The node keeps the update out. */
    record Rejected(ConfigurationVersion held) implements PushResponse {}
}
