package org.oleanderturn.node;

import java.util.List;
import java.util.OptionalInt;
import org.oleanderturn.claims.ClaimCounts;
import org.oleanderturn.distribution.AdoptionStatus;
import org.oleanderturn.distribution.DisseminationStatus;
import org.oleanderturn.distribution.HeadStatus;
import org.oleanderturn.distribution.Readiness;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.store.StoreCounters;
import org.oleanderturn.traffic.QuarantineRecord;
import org.oleanderturn.traffic.UpstreamReport;

/**
 * A node's view of its own state and of the mesh at one moment, for operators.
 *
 * <p>Immutable and thread safe.
 */
public record StateDump(
        NodeId node,
        Locality locality,
        Readiness readiness,
        EndpointState target,
        AdoptionStatus configuration,
        ConfigurationVersion routingVersion,
        HeadStatus store,
        OptionalInt relaySlot,
        DisseminationStatus spread,
        Members members,
        Work work,
        ClaimCounts claims,
        List<UpstreamReport> upstreams,
        List<QuarantineRecord> convictions,
        StoreCounters storeCalls,
        Traffic control) {

    /** The members as this node sees them; both counts include it. */
    public record Members(int known, int reachable, boolean isIsolated, long incarnation) {}

    /** The requests that the node is processing, and the current concurrency limit of the local target. */
    public record Work(int inFlight, int atTarget, int queued, int concurrency) {}

    /** Bytes of control messages since the start of the node. */
    public record Traffic(long sentBytes, long receivedBytes) {}
}
