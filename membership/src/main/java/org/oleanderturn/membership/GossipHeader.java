package org.oleanderturn.membership;

import java.util.List;
import java.util.Objects;
import org.oleanderturn.model.ConfigurationVersion;

/**
 * The common part of all messages between members, with piggybacked updates.
 *
 * <p>Immutable and thread safe.
 *
 * @param sender the sender's own record, including the configuration version that it holds
 * @param zoneFloor the highest configuration version that any node of the sender's zone is known to have held
 * @param records changed records that the sender passes on
 * @param held newly adopted configuration versions that the sender passes on within its region
 */
public record GossipHeader(
        GossipRecord sender, ConfigurationVersion zoneFloor, List<GossipRecord> records, List<HeldVersion> held) {

    /** Copies the lists. */
    public GossipHeader {
        Objects.requireNonNull(sender, "sender is null");
        Objects.requireNonNull(zoneFloor, "zoneFloor is null");
        records = List.copyOf(records);
        held = List.copyOf(held);
    }
}
