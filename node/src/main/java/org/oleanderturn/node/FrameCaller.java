package org.oleanderturn.node;

import io.vavr.control.Either;
import java.time.Duration;
import org.oleanderturn.model.Address;
import org.oleanderturn.wire.Frame;
import org.oleanderturn.wire.WireFailure;

/** Sends one frame to a peer and waits for the answering frame. Implementations are thread safe. */
@FunctionalInterface
public interface FrameCaller {

    /**
     * Sends a request and blocks until its answer arrives or the call fails.
     *
     * @param peer the control address of the peer
     * @param timeout limits the whole call, connecting included
     * @return the answer, or why there is none
     */
    Either<WireFailure, Frame> call(Address peer, Frame request, Duration timeout);
}
