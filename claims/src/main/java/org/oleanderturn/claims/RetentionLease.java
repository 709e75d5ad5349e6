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
 * <p>Invariant: a lease is handed out for {@link #REUSE_PERIOD} at most after its grant was asked for, and ends
 * {@code SHARING + retention} after it or later; so what is written under it stays for the retention at least, by the
 * store's clock. It is never kept alive. Thread safe.
 */
final class RetentionLease {
    /** How long one lease takes new claims. */
    static final Duration REUSE_PERIOD = Duration.ofHours(4);

    private record GrantedLease(LeaseId lease, long requestedAtMilliseconds) {}

    private final Store store;
    private final Duration retention;
    private final LongSupplier clockMilliseconds;
    private final AtomicReference<GrantedLease> granted = new AtomicReference<>();

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
        GrantedLease current = granted.get();
        return isUsable(current) ? Either.right(current.lease()) : grant();
    }

    /** Forgets a lease that the store says has ended. */
    void invalidate(LeaseId ended) {
        granted.updateAndGet(current -> current != null && current.lease().equals(ended) ? null : current);
    }

    private synchronized Either<StoreFailure, LeaseId> grant() {
        GrantedLease current = granted.get();
        if (isUsable(current)) {
            return Either.right(current.lease());
        }
        long askedAt = clockMilliseconds.getAsLong();
        return store.grantLease(retention.plus(REUSE_PERIOD))
                .peek(lease -> granted.set(new GrantedLease(lease, askedAt)))
                .mapLeft(RetentionLease::asNotWritten);
    }

    private boolean isUsable(GrantedLease current) {
        return current != null
                && clockMilliseconds.getAsLong() - current.requestedAtMilliseconds() < REUSE_PERIOD.toMillis();
    }

    /** A lost answer to the grant leaves the claim itself unwritten. */
    private static StoreFailure asNotWritten(StoreFailure failure) {
        return failure.isUndetermined() ? new StoreFailure.Unreachable("no lease: " + failure) : failure;
    }
}
