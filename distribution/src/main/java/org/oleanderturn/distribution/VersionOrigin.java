package org.oleanderturn.distribution;

import org.oleanderturn.model.Address;

/**
 * Where a node has a version of the configuration, or the news of it, from.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface VersionOrigin {

    /** The node read it from the platform's store. */
    record Store() implements VersionOrigin {}

    /** A peer pushed it to the node. */
    record Push(Address peer) implements VersionOrigin {}

    /** The node fetched it from a peer. */
    record Fetch(Address peer) implements VersionOrigin {}

    /** The peer is known to hold it; its content did not come with the news. */
    record Advertisement(Address peer) implements VersionOrigin {}
}
