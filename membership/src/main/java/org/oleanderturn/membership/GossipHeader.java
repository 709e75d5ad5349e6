package org.oleanderturn.membership;

import java.util.List;
import java.util.Objects;
import org.oleanderturn.model.ConfigurationVersion;

/**
 * What every message between members carries beside its own purpose.
 *
 * <p>Immutable and thread safe.
 *
 * @param sender the sender's own record, with the version that it holds
 * @param zoneFloor the highest version that any node of the sender's zone was ever known to hold
 * @param records changes that the sender passes on
 * @param held versions that nodes came to hold, which the sender passes on within a region
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
