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
 * Determines for operators which configuration version each proxy holds.
 *
 * <p>Gossip propagates held versions with a delay, so members that appear outdated are queried directly. Invariant: a
 * reported version is one that its member is known to have held. Thread safe.
 */
final class ProxyStatusQuery {
    private static final int MAXIMUM_PEERS_ASKED = 256;

    private final ControlPlane control;
    private final ControlChannel channel;

    ProxyStatusQuery(ControlPlane control, ControlChannel channel) {
        this.control = Objects.requireNonNull(control, "control is null");
        this.channel = Objects.requireNonNull(channel, "channel is null");
    }

    /** Returns the status of every member, sorted by node; blocks while outdated members are queried. */
    List<ProxyStatus> read() {
        MemberTable table = control.gossip().table();
        ConfigurationVersion newest = control.newestVersion();
        Map<NodeId, ConfigurationVersion> answers = requestHeldVersions(table, newest);
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

    private Map<NodeId, ConfigurationVersion> requestHeldVersions(MemberTable table, ConfigurationVersion newest) {
        List<MemberRecord> outdated = table.reachablePeers().stream()
                .filter(record -> newest.isAfter(record.heldVersion()))
                .limit(MAXIMUM_PEERS_ASKED)
                .toList();
        List<Either<ControlFailure, PeerVersionReport>> answers = channel.requestVersionReports(
                outdated.stream().map(MemberRecord::controlAddress).toList(),
                table.local().node());
        Map<NodeId, ConfigurationVersion> held = new HashMap<>();
        answers.forEach(answer -> answer.forEach(report -> held.put(report.peer(), report.held())));
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
