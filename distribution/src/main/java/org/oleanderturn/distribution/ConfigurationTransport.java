package org.oleanderturn.distribution;

import io.vavr.control.Either;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;

/** Exchanges the configuration with other nodes. A call blocks its thread. Implementations are thread safe. */
public interface ConfigurationTransport {

    /** Asks a peer for what is newer than the held configuration. */
    Either<PeerFailure, ConfigurationUpdate> fetch(Address peer, ConfigurationVersion held, Digest heldDigest);

    /** Sends a peer an update. */
    Either<PeerFailure, PushResponse> push(Address peer, ConfigurationUpdate update);
}
