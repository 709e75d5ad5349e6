package org.oleanderturn.distribution;

import io.vavr.control.Either;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;

/** Exchanges configuration updates with peers. Calls block. Implementations are thread safe. */
public interface ConfigurationTransport {

    /** Fetches from a peer an update to the held version and digest. */
    Either<PeerFailure, ConfigurationUpdate> fetch(Address peer, ConfigurationVersion held, Digest heldDigest);

    /** Pushes an update to a peer. */
    Either<PeerFailure, PushResponse> push(Address peer, ConfigurationUpdate update);
}
