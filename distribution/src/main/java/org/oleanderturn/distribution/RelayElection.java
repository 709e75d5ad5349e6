package org.oleanderturn.distribution;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.AvailabilityZone;
import org.oleanderturn.store.LeaseId;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;

/**
 * Elects the relays of a zone: each relay holds one of the zone's slot keys under a lease of the platform's store.
 *
 * <p>Invariant: this node considers itself a relay at most until its lease expires by its own clock, measured from
 * before the call that granted or renewed the lease. Safety does not depend on this, because a former relay can only
 * push older versions, which peers do not adopt. Queries are thread safe; commands are called from one thread at a
 * time.
 */
public final class RelayElection implements RelayRole {
    /** The number of relay slots in a zone. */
    public static final int SLOTS_PER_ZONE = 2;

    private static final long LEASE_MILLISECONDS = 9_000;
    private static final long RENEWAL_INTERVAL_MILLISECONDS = 3_000;
    private static final long CAMPAIGN_INTERVAL_MILLISECONDS = 8_000;
    private static final long BACKOFF_BASE_MILLISECONDS = 500;
    private static final long BACKOFF_CAP_MILLISECONDS = 30_000;

    private final Store store;
    private final RelayRegistration self;
    private final String keyPrefix;
    private final RelayCandidacy candidacy;
    private final RandomGenerator random;
    private final Backoff backoff;
    private final AtomicReference<Optional<HeldSlot>> heldSlot = new AtomicReference<>(Optional.empty());
    private long nextCallMilliseconds;
    private boolean areSlotsTaken;

    private RelayElection(
            Store store,
            RelayRegistration self,
            AvailabilityZone zone,
            RelayCandidacy candidacy,
            RandomGenerator random) {
        this.store = store;
        this.self = self;
        this.keyPrefix = RelayRegistration.KEY_PREFIX + zone + "/";
        this.candidacy = candidacy;
        this.random = random;
        this.backoff = Backoff.of(random, BACKOFF_BASE_MILLISECONDS, BACKOFF_CAP_MILLISECONDS);
    }

    /** Returns the election of the relays of a zone, in which the given node takes part. */
    public static RelayElection of(
            Store store,
            RelayRegistration self,
            AvailabilityZone zone,
            RelayCandidacy candidacy,
            RandomGenerator random) {
        Objects.requireNonNull(store, "store is null");
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(candidacy, "candidacy is null");
        Objects.requireNonNull(random, "random is null");
        return new RelayElection(store, self, zone, candidacy, random);
    }

    // -- queries

    @Override
    public OptionalInt slot(long nowMilliseconds) {
        Optional<HeldSlot> current = heldSlot.get();
        if (current.isEmpty() || nowMilliseconds >= current.get().leaseEndMilliseconds()) {
            return OptionalInt.empty();
        }
        return OptionalInt.of(current.get().slot());
    }

    // -- commands

    /** Renews the lease, or campaigns for a slot as a candidate, when that is due. Call it about once a second. */
    public void tick(long nowMilliseconds) {
        if (nowMilliseconds < nextCallMilliseconds) {
            return;
        }
        Optional<HeldSlot> current = heldSlot.get();
        if (current.isPresent()) {
            renew(current.get(), nowMilliseconds);
            return;
        }
        nextCallMilliseconds = nowMilliseconds + Backoff.jittered(random, CAMPAIGN_INTERVAL_MILLISECONDS);
        if (candidacy.isCandidate()) {
            campaign(nowMilliseconds);
        }
    }

    /** Releases the slot immediately, so that another node can take it. */
    public void resign() {
        Optional<HeldSlot> current = heldSlot.getAndSet(Optional.empty());
        current.ifPresent(released -> store.revokeLease(released.lease()));
    }

    private void renew(HeldSlot current, long nowMilliseconds) {
        Either<StoreFailure, LeaseId> renewed = store.keepAlive(current.lease());
        if (renewed.isRight()) {
            backoff.reset();
            heldSlot.set(
                    Optional.of(new HeldSlot(current.slot(), current.lease(), nowMilliseconds + LEASE_MILLISECONDS)));
            nextCallMilliseconds = nowMilliseconds + Backoff.jittered(random, RENEWAL_INTERVAL_MILLISECONDS);
            return;
        }
        nextCallMilliseconds = nowMilliseconds + backoff.nextDelayMilliseconds();
        boolean isLeaseEnded = renewed.getLeft() instanceof StoreFailure.LeaseEnded;
        if (isLeaseEnded || nowMilliseconds >= current.leaseEndMilliseconds()) {
            heldSlot.set(Optional.empty());
        }
    }

    private void campaign(long nowMilliseconds) {
        // A slot that has been taken mostly stays so; a stale answer only delays the next campaign.
        Either<StoreFailure, List<StoredValue>> registered =
                areSlotsTaken ? store.listStale(keyPrefix) : store.list(keyPrefix);
        if (registered.isLeft()) {
            nextCallMilliseconds = nowMilliseconds + backoff.nextDelayMilliseconds();
            return;
        }
        List<Integer> free = freeSlots(registered.get());
        areSlotsTaken = free.isEmpty();
        if (areSlotsTaken) {
            backoff.reset();
            return;
        }
        int slot = free.get(random.nextInt(free.size()));
        Either<StoreFailure, LeaseId> acquired = store.grantLease(Duration.ofMillis(LEASE_MILLISECONDS))
                .flatMap(lease -> store.compareAndSwapLeased(keyPrefix + slot, StoredValue.ABSENT, self.encode(), lease)
                        .map(_ -> lease));
        if (acquired.isLeft()) {
            nextCallMilliseconds = nowMilliseconds + backoff.nextDelayMilliseconds();
            return;
        }
        backoff.reset();
        heldSlot.set(Optional.of(new HeldSlot(slot, acquired.get(), nowMilliseconds + LEASE_MILLISECONDS)));
        nextCallMilliseconds = nowMilliseconds + Backoff.jittered(random, RENEWAL_INTERVAL_MILLISECONDS);
    }

    /**
     * Returns the free slots; empty while an earlier lease of this node is still valid, because that lease has to
     * expire first.
     */
    private List<Integer> freeSlots(List<StoredValue> registered) {
        List<Integer> free = new ArrayList<>(List.of(0, 1));
        for (StoredValue value : registered) {
            boolean isOwn = RelayRegistration.parse(value.value())
                    .filter(registration -> registration.node().equals(self.node()))
                    .isPresent();
            if (isOwn) {
                return List.of();
            }
            free.removeIf(slot -> value.key().equals(keyPrefix + slot));
        }
        return free;
    }

    private record HeldSlot(int slot, LeaseId lease, long leaseEndMilliseconds) {}
}
