package org.oleanderturn.node;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.oleanderturn.distribution.PeerVersionReport;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.membership.MemberTable;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ProxyStatus;

/**
 * What each proxy holds, for operators.
 *
 * <p>Membership carries held versions lazily. A member that seems to be behind is asked itself, so an operator is told
 * what it holds now. Invariant: no version is stated that its member was not known to hold. Thread safe.
 */
final class ProxyList {
    private static final int MOST_ASKED = 256;

    private final ControlPlane control;
    private final ControlChannel channel;

    ProxyList(ControlPlane control, ControlChannel channel) {
        this.control = Objects.requireNonNull(control, "control is null");
        this.channel = Objects.requireNonNull(channel, "channel is null");
    }

    /** Returns the status of every member, sorted by node; blocks for the members that are asked. */
    List<ProxyStatus> read() {
        MemberTable table = control.gossip().table();
        ConfigurationVersion newest = control.newestVersion();
        Map<NodeId, ConfigurationVersion> answers = ask(table, newest);
        List<ProxyStatus> list = new ArrayList<>();
        for (MemberRecord record : table.records()) {
            ConfigurationVersion known =
                    isSelf(table, record) ? control.holder().version() : record.heldVersion();
            ConfigurationVersion held = ConfigurationVersion.newest(
                    known, answers.getOrDefault(record.node(), ConfigurationVersion.none()));
            list.add(status(record, isSelf(table, record) || record.liveness().isReachable(), held, newest));
        }
        return List.copyOf(list);
    }

    private Map<NodeId, ConfigurationVersion> ask(MemberTable table, ConfigurationVersion newest) {
        List<MemberRecord> behind = table.reachablePeers().stream()
                .filter(record -> newest.isAfter(record.heldVersion()))
                .limit(MOST_ASKED)
                .toList();
        List<Either<ControlFailure, PeerVersionReport>> answers = channel.recollectAll(
                behind.stream().map(MemberRecord::controlAddress).toList(),
                table.local().node());
        Map<NodeId, ConfigurationVersion> held = new HashMap<>();
        answers.forEach(answer -> answer.forEach(recollection -> held.put(recollection.peer(), recollection.held())));
        return held;
    }

    private static ProxyStatus status(
            MemberRecord record, boolean isReachable, ConfigurationVersion held, ConfigurationVersion newest) {
        return new ProxyStatus(
                record.node(),
                record.endpoint().address(),
                record.locality(),
                record.endpoint().service(),
                record.endpoint().state(),
                isReachable,
                held,
                Math.max(0, newest.number() - held.number()));
    }

    private static boolean isSelf(MemberTable table, MemberRecord record) {
        return record.node().equals(table.local().node());
    }
}
