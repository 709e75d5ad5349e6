package org.oleanderturn.node;

import io.vavr.control.Either;
import java.util.List;
import org.oleanderturn.distribution.PeerVersionReport;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.NodeId;

/** Requests configuration versions from peers on behalf of a restarted node. Implementations are thread safe. */
@FunctionalInterface
interface VersionReportTransport {

    /** Queries the peers in parallel; returns their answers in the order of the peers, and blocks for a bounded time. */
    List<Either<ControlFailure, PeerVersionReport>> requestVersionReports(List<Address> peers, NodeId requester);
}
