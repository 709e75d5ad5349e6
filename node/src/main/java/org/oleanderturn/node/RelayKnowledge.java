package org.oleanderturn.node;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.model.Address;

/**
 * Compares the known members with the relays that are registered in the platform's store, so that the nodes of a zone that
 * all restarted while it was cut off from the others do not take themselves for the whole fleet.
 *
 * <p>{@link #isCovered} must be called by one thread at a time.
 */
final class RelayKnowledge {
    /** A registration ends some seconds after its relay; reading more often would cost calls to the store. */
    private static final Duration READ_INTERVAL = Duration.ofSeconds(5);

    private final RelayDirectory directory;
    private final LongSupplier nanoseconds;
    private long readNanoseconds;

    RelayKnowledge(RelayDirectory directory, LongSupplier nanoseconds) {
        this.directory = Objects.requireNonNull(directory, "directory is null");
        this.nanoseconds = Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        this.readNanoseconds = nanoseconds.getAsLong();
    }

    /** Returns whether every relay that was registered when the store was last read is a member; reads again when not. */
    boolean isCovered(List<MemberRecord> members) {
        Set<Address> known = members.stream().map(MemberRecord::controlAddress).collect(Collectors.toUnmodifiableSet());
        if (known.containsAll(directory.lastRead())) {
            return true;
        }
        long now = nanoseconds.getAsLong();
        if (now - readNanoseconds >= READ_INTERVAL.toNanos()) {
            readNanoseconds = now;
            directory.relays();
        }
        return known.containsAll(directory.lastRead());
    }
}
