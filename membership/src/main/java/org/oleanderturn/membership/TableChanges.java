package org.oleanderturn.membership;

import io.vavr.Tuple2;
import io.vavr.collection.HashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oleanderturn.model.NodeId;

/**
 * What a table says that an earlier one did not.
 *
 * <p>Immutable and thread safe.
 *
 * @param statusChanged nodes whose incarnation, liveness or state is another
 * @param versionChanged nodes that hold a newer version in the same incarnation
 */
record TableChanges(List<NodeId> statusChanged, List<NodeId> versionChanged) {

    TableChanges {
        statusChanged = List.copyOf(statusChanged);
        versionChanged = List.copyOf(versionChanged);
    }

    @SuppressWarnings("ReferenceEquality") // an entry that was not replaced is the same object, and most are
    static TableChanges between(HashMap<NodeId, MemberEntry> earlier, HashMap<NodeId, MemberEntry> later) {
        List<NodeId> standing = new ArrayList<>();
        List<NodeId> held = new ArrayList<>();
        for (Tuple2<NodeId, MemberEntry> entry : later) {
            Optional<MemberEntry> before = earlier.get(entry._1()).toJavaOptional();
            if (before.isPresent() && before.get() == entry._2()) {
                continue;
            }
            MemberRecord record = entry._2().record();
            if (before.isEmpty() || !before.get().record().hasSameStatus(record)) {
                standing.add(entry._1());
            } else if (record.heldVersion().isAfter(before.get().record().heldVersion())) {
                held.add(entry._1());
            }
        }
        return new TableChanges(standing, held);
    }
}
