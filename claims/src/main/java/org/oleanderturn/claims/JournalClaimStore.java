package org.oleanderturn.claims;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;

/**
 * Stores claims in one journal per partition of the keys, so that one swap can write many claims.
 *
 * <p>Invariant: a record is kept until the retention plus {@link #MAXIMUM_CLOCK_SKEW} has passed since it was claimed,
 * by the claiming process's wall clock. A partition whose journal has reached the store's maximum value size refuses
 * claims. Thread safe.
 */
final class JournalClaimStore implements ClaimStore {
    /** The maximum difference between the wall clocks of two processes. */
    static final Duration MAXIMUM_CLOCK_SKEW = Duration.ofMinutes(10);

    private static final String PREFIX = "claim-journals/";

    private final List<JournalPartition> partitions;

    private JournalClaimStore(List<JournalPartition> partitions) {
        this.partitions = partitions;
    }

    static JournalClaimStore of(Store store, int partitionCount, Duration retention, LongSupplier clockMilliseconds) {
        Objects.requireNonNull(store, "store is null");
        Objects.requireNonNull(retention, "retention is null");
        Objects.requireNonNull(clockMilliseconds, "clockMilliseconds is null");
        Duration retentionWithSkew = retention.plus(MAXIMUM_CLOCK_SKEW);
        List<JournalPartition> partitions = IntStream.range(0, partitionCount)
                .mapToObj(number -> new JournalPartition(store, PREFIX + number, retentionWithSkew, clockMilliseconds))
                .toList();
        return new JournalClaimStore(partitions);
    }

    @Override
    public Either<StoreFailure, Optional<Versioned>> read(IdempotencyKey key) {
        return partition(key).read(key);
    }

    @Override
    public Either<StoreFailure, Long> write(IdempotencyKey key, long expectedRevision, ClaimRecord record) {
        return partition(key).write(key, expectedRevision, record);
    }

    private JournalPartition partition(IdempotencyKey key) {
        return partitions.get(Math.floorMod(key.digest().hashCode(), partitions.size()));
    }
}
