package org.oleanderturn.node;

import java.util.List;
import java.util.Optional;
import org.oleanderturn.distribution.AdoptionStatus;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.mesh.TargetStatus;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.traffic.LoadReport;

/**
 * What a node of the users' platform believes at one moment, for its state dump.
 *
 * <p>Immutable and thread safe.
 *
 * @param isReady whether it answers clients
 * @param configuration the configuration in force and the last that was kept out
 * @param storeFailure why the platform's store can't be read now, if it can't
 * @param target what is believed of the local target
 * @param targetState what other nodes are told of it
 * @param load the load of the local target
 * @param members every member that is known
 * @param droppedLogLines lines that found the log's queue full
 */
record MeshState(
        boolean isReady,
        AdoptionStatus configuration,
        Optional<String> storeFailure,
        TargetStatus target,
        EndpointState targetState,
        LoadReport load,
        List<MemberRecord> members,
        long droppedLogLines) {

    MeshState {
        members = List.copyOf(members);
    }
}
