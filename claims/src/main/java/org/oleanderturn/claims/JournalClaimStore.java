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
 * Holds the claims in a journal per partition of the keys, with many claims to one swap.
 *
 * <p>Invariant: a record stays until the retention has passed since its claim by its claimer's wall clock, and
 * {@link #MAXIMUM_CLOCK_SKEW} more, the most by which the wall clocks of two processes may differ. A partition that has reached
 * the store's largest value refuses claims. Thread safe.
 */
final class JournalClaimStore implements ClaimStore {
    /** The most by which two wall clocks may differ. */
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
        Duration kept = retention.plus(MAXIMUM_CLOCK_SKEW);
        List<JournalPartition> partitions = IntStream.range(0, partitionCount)
                .mapToObj(number -> new JournalPartition(store, PREFIX + number, kept, clockMilliseconds))
                .toList();
        return new JournalClaimStore(partitions);
    }

    @Override
    public Either<StoreFailure, Optional<Versioned>> read(IdempotencyKey key) {
        return partition(key).read(key);
    }

    @Override
    public Either<StoreFailure, Long> write(IdempotencyKey key, long expected, ClaimRecord record) {
        return partition(key).write(key, expected, record);
    }

    private JournalPartition partition(IdempotencyKey key) {
        return partitions.get(Math.floorMod(key.digest().hashCode(), partitions.size()));
    }
}
