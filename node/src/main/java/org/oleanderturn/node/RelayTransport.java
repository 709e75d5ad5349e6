package org.oleanderturn.node;

import io.vavr.control.Either;
import org.oleanderturn.model.Address;

/** Asks relays about the configuration. Implementations are thread safe. */
@FunctionalInterface
interface RelayTransport {

    /**
     * Asks a node that may be the relay of this node's zone; blocks for a bounded time.
     *
     * @param isConfirmationNeeded whether the relay should find out whether its version is the newest
     */
    Either<ControlFailure, RelayReport> askRelay(Address relay, boolean isConfirmationNeeded);
}
