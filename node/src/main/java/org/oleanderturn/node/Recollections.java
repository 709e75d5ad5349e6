package org.oleanderturn.node;

import io.vavr.control.Either;
import java.util.List;
import org.oleanderturn.distribution.PeerVersionReport;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.NodeId;

/** Asks peers what a restarted node has to catch up with. Implementations are thread safe. */
@FunctionalInterface
interface Recollections {

    /** Asks several peers at once and returns their answers in the same order; blocks for a bounded time. */
    List<Either<ControlFailure, PeerVersionReport>> recollectAll(List<Address> peers, NodeId asker);
}
