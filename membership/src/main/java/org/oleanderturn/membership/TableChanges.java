package org.oleanderturn.membership;

import io.vavr.Tuple2;
import io.vavr.collection.HashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oleanderturn.model.NodeId;

/**
 * The difference between two successive tables.
 *
 * <p>Immutable and thread safe.
 *
 * @param statusChanged nodes that are new or whose incarnation, liveness or endpoint state changed
 * @param versionChanged nodes that hold a newer configuration version in the same incarnation
 */
record TableChanges(List<NodeId> statusChanged, List<NodeId> versionChanged) {

    TableChanges {
        statusChanged = List.copyOf(statusChanged);
        versionChanged = List.copyOf(versionChanged);
    }

    @SuppressWarnings("ReferenceEquality") // fast path: most entries are the same object in both tables
    static TableChanges between(HashMap<NodeId, MemberEntry> earlier, HashMap<NodeId, MemberEntry> later) {
        List<NodeId> statusChanged = new ArrayList<>();
        List<NodeId> versionChanged = new ArrayList<>();
        for (Tuple2<NodeId, MemberEntry> entry : later) {
            Optional<MemberEntry> before = earlier.get(entry._1()).toJavaOptional();
            if (before.isPresent() && before.get() == entry._2()) {
                continue;
            }
            MemberRecord record = entry._2().record();
            if (before.isEmpty() || !before.get().record().hasSameStatus(record)) {
                statusChanged.add(entry._1());
            } else if (record.heldVersion().isAfter(before.get().record().heldVersion())) {
                versionChanged.add(entry._1());
            }
        }
        return new TableChanges(statusChanged, versionChanged);
    }
}
