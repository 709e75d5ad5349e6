package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.oleanderturn.distribution.RelayRegistration;
import org.oleanderturn.distribution.RelayRole;
import org.oleanderturn.model.Address;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;

/**
 * Reads the relays of all zones from their registrations in the platform's store.
 *
 * <p>Thread safe.
 */
final class RelayDirectory {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Registrations seconds ago mostly hold still; a fresh read costs ten times as much. */
    private static final int READS_PER_FRESH_READ = 3;

    /**
     * How soon after its start a node has to learn of relays for these to have run before it. A call to the store has an answer
     * by then, unless its link is full; after a restart of the whole fleet, other nodes register meanwhile.
     */
    private static final long FIRST_LOOK_MILLISECONDS = 1_000;

    private final Store store;
    private final RelayRole role;
    private final LongSupplier milliseconds;
    private final AtomicInteger reads = new AtomicInteger();
    private final AtomicReference<List<Address>> lastRead = new AtomicReference<>(List.of());
    private final AtomicReference<Optional<Boolean>> foundAtFirst = new AtomicReference<>(Optional.empty());
    private final long createdMilliseconds;

    RelayDirectory(Store store, RelayRole role, LongSupplier milliseconds) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.role = Objects.requireNonNull(role, "role is null");
        this.milliseconds = Objects.requireNonNull(milliseconds, "milliseconds is null");
        this.createdMilliseconds = milliseconds.getAsLong();
    }

    /** Returns whether this node is a relay. */
    boolean isRelay() {
        return role.isRelay(milliseconds.getAsLong());
    }

    /** Returns the control addresses of the relays; empty when the store can't be read. Malformed entries are skipped. */
    List<Address> relays() {
        boolean isStaleEnough = reads.getAndIncrement() % READS_PER_FRESH_READ != READS_PER_FRESH_READ - 1;
        Either<StoreFailure, List<StoredValue>> entries = isStaleEnough
                ? store.listStale(RelayRegistration.KEY_PREFIX)
                : store.list(RelayRegistration.KEY_PREFIX);
        if (entries.isLeft()) {
            log.atFine().atMostEvery(1, TimeUnit.SECONDS).log("relays can't be read: %s", entries.getLeft());
            return List.of();
        }
        List<Address> addresses = new ArrayList<>();
        for (StoredValue value : entries.get()) {
            RelayRegistration.parse(value.value())
                    .map(RelayRegistration::controlAddress)
                    .ifPresent(addresses::add);
        }
        lastRead.set(List.copyOf(addresses));
        boolean isInTime = milliseconds.getAsLong() - createdMilliseconds < FIRST_LOOK_MILLISECONDS;
        foundAtFirst.compareAndSet(Optional.empty(), Optional.of(isInTime && !addresses.isEmpty()));
        return addresses;
    }

    /** Returns the control addresses of the relays as they were read last; reads nothing. */
    List<Address> lastRead() {
        return lastRead.get();
    }

    /** Returns whether this node found relays right after its start, so that it joins a fleet that runs. */
    boolean isFleetRunning() {
        return foundAtFirst.get().orElse(false);
    }
}
