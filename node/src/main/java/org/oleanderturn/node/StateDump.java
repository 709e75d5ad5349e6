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
 * Everything that a node knows of itself, for operators.
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

    /** The members as this node sees them. */
    public record Members(int known, int reachable, boolean isIsolated, long incarnation) {}

    /** What the node is serving now. */
    public record Work(int inFlight, int atTarget, int queued, int concurrency) {}

    /** Bytes of control messages since the start. */
    public record Traffic(long sentBytes, long receivedBytes) {}
}
