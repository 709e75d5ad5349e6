package org.oleanderturn.node;

import java.util.List;
import java.util.Optional;
import org.oleanderturn.distribution.AdoptionStatus;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.mesh.TargetCondition;
import org.oleanderturn.mesh.TargetStatus;
import org.oleanderturn.model.DecodeFailure;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.platform.UnknownWord;
import org.oleanderturn.traffic.CrashSuspicion;
import org.oleanderturn.traffic.LoadReport;

/**
 * The state of a node on the users' platform at one moment, for its state dump.
 *
 * <p>Immutable and thread safe.
 *
 * @param isReady whether the node serves clients
 * @param configuration the active configuration and the last one that was rejected
 * @param storeFailure why the platform's store currently can't be read; empty when it can
 * @param unreadableConfiguration why the newest configuration in the store can't be decoded, if this node reads the store
 * @param unknownWords the words of the newest configuration that this release does not know, if this node reads the store
 * @param target the observed state of the local target
 * @param targetState the state that is announced to other nodes
 * @param load the load of the local target
 * @param members all known members, this node included
 * @param suspicions the requests under which targets have ended; those of level 0 have completed since
 * @param conditions what targets ask of the nodes, by their responses
 * @param droppedLogLines log lines that were dropped because the queue was full
 */
record MeshState(
        boolean isReady,
        AdoptionStatus configuration,
        Optional<String> storeFailure,
        Optional<DecodeFailure> unreadableConfiguration,
        List<UnknownWord> unknownWords,
        TargetStatus target,
        EndpointState targetState,
        LoadReport load,
        List<MemberRecord> members,
        List<CrashSuspicion> suspicions,
        List<TargetCondition> conditions,
        long droppedLogLines) {

    MeshState {
        unknownWords = List.copyOf(unknownWords);
        members = List.copyOf(members);
        suspicions = List.copyOf(suspicions);
        conditions = List.copyOf(conditions);
    }
}
