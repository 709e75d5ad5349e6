package org.oleanderturn.claims;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.oleanderturn.store.LeaseId;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;

/**
 * The lease that claims hang on, so that the store removes them after the retention without a call.
 *
 * <p>Invariant: a lease is handed out for {@link #SHARING} at most after its grant was asked for, and ends
 * {@code SHARING + retention} after it or later; so what is written under it stays for the retention at least, by the
 * store's clock. It is never kept alive. Thread safe.
 */
final class RetentionLease {
    /** How long one lease takes new claims. */
    static final Duration SHARING = Duration.ofHours(4);

    private record Held(LeaseId lease, long askedAtMilliseconds) {}

    private final Store store;
    private final Duration retention;
    private final LongSupplier clockMilliseconds;
    private final AtomicReference<Held> held = new AtomicReference<>();

    private RetentionLease(Store store, Duration retention, LongSupplier clockMilliseconds) {
        this.store = store;
        this.retention = retention;
        this.clockMilliseconds = clockMilliseconds;
    }

    static RetentionLease of(Store store, Duration retention, LongSupplier clockMilliseconds) {
        Objects.requireNonNull(store, "store is null");
        Objects.requireNonNull(retention, "retention is null");
        return new RetentionLease(store, retention, Objects.requireNonNull(clockMilliseconds, "clock is null"));
    }

    /** Returns the lease for a claim written now, asking for a new one when the last has served its time. */
    Either<StoreFailure, LeaseId> obtain() {
        Held current = held.get();
        return isUsable(current) ? Either.right(current.lease()) : grant();
    }

    /** Forgets a lease that the store says has ended. */
    void forget(LeaseId ended) {
        held.updateAndGet(current -> current != null && current.lease().equals(ended) ? null : current);
    }

    private synchronized Either<StoreFailure, LeaseId> grant() {
        Held current = held.get();
        if (isUsable(current)) {
            return Either.right(current.lease());
        }
        long askedAt = clockMilliseconds.getAsLong();
        return store.grantLease(retention.plus(SHARING))
                .peek(lease -> held.set(new Held(lease, askedAt)))
                .mapLeft(RetentionLease::nothingClaimed);
    }

    private boolean isUsable(Held current) {
        return current != null && clockMilliseconds.getAsLong() - current.askedAtMilliseconds() < SHARING.toMillis();
    }

    /** A lost answer to the grant leaves the claim itself unwritten. */
    private static StoreFailure nothingClaimed(StoreFailure failure) {
        return failure.isUndetermined() ? new StoreFailure.Unreachable("no lease: " + failure) : failure;
    }
}
