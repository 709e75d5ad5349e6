package org.oleanderturn.node;

import io.vavr.control.Either;
import java.time.Duration;
import org.oleanderturn.model.Address;
import org.oleanderturn.wire.Frame;
import org.oleanderturn.wire.WireFailure;

/** Sends one frame to a peer and waits for the answer. Implementations are thread safe. */
@FunctionalInterface
public interface FrameCaller {

    /**
     * Sends a request and waits for its answer.
     *
     * @param timeout time for the whole call
     * @return the answer, or why there is none
     */
    Either<WireFailure, Frame> call(Address peer, Frame request, Duration timeout);
}
