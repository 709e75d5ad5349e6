package org.oleanderturn.node;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.oleanderturn.distribution.Peer;
import org.oleanderturn.distribution.PeerDirectory;
import org.oleanderturn.membership.Liveness;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.membership.MemberTable;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;

/**
 * Presents the member table as the peers of configuration distribution; members that have left are excluded.
 *
 * <p>Thread safe.
 */
final class MemberDirectory implements PeerDirectory {
    private final Supplier<MemberTable> table;

    MemberDirectory(Supplier<MemberTable> table) {
        this.table = Objects.requireNonNull(table, "table is null");
    }

    @Override
    public List<Peer> peers() {
        MemberTable members = table.get();
        return members.records().stream()
                .filter(record -> !record.node().equals(members.local().node()))
                .filter(record -> record.liveness() != Liveness.LEFT)
                .map(MemberDirectory::peer)
                .toList();
    }

    /** Returns the newest configuration version that any member, this node included, is known to hold. */
    ConfigurationVersion newestVersion() {
        ConfigurationVersion newest = ConfigurationVersion.none();
        for (MemberRecord record : table.get().records()) {
            newest = ConfigurationVersion.newest(newest, record.heldVersion());
        }
        return newest;
    }

    /** Returns the member that is known to hold the newest version; empty when no other node is known. */
    Optional<Peer> newestHolder() {
        return table.get().records().stream()
                .filter(record -> !record.node().equals(table.get().local().node()))
                .max(Comparator.comparing(MemberRecord::heldVersion))
                .map(MemberDirectory::peer);
    }

    /** Returns the name of the node with the given control address, or the address if no such node is known. */
    String nameOf(Address controlAddress) {
        return table.get().records().stream()
                .filter(record -> record.controlAddress().equals(controlAddress))
                .findFirst()
                .map(record -> record.node().value())
                .orElse(controlAddress.toString());
    }

    private static Peer peer(MemberRecord record) {
        return new Peer(
                record.node(),
                record.controlAddress(),
                record.locality(),
                record.heldVersion(),
                record.liveness().isReachable());
    }
}
