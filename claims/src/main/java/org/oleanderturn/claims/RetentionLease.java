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
 * The lease shared by recent claims, so that the store removes them after the retention without further calls.
 *
 * <p>Invariant: a lease is used for at most {@link #REUSE_PERIOD} after its grant was requested and ends no earlier
 * than {@code REUSE_PERIOD + retention} after the request, so a record written under it is kept for at least the
 * retention, by the store's clock. The lease is never kept alive. Thread safe.
 */
final class RetentionLease {
    /** How long one lease is used for new claims. */
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
        return new RetentionLease(
                store, retention, Objects.requireNonNull(clockMilliseconds, "clockMilliseconds is null"));
    }

    /** Returns the lease for a new claim, requesting a new one if the current lease is past its reuse period. */
    Either<StoreFailure, LeaseId> obtain() {
        GrantedLease current = granted.get();
        return isUsable(current) ? Either.right(current.lease()) : grant();
    }

    /** Discards a lease that the store reports as ended. */
    void invalidate(LeaseId ended) {
        granted.updateAndGet(current -> current != null && current.lease().equals(ended) ? null : current);
    }

    private synchronized Either<StoreFailure, LeaseId> grant() {
        GrantedLease current = granted.get();
        if (isUsable(current)) {
            return Either.right(current.lease());
        }
        long requestedAt = clockMilliseconds.getAsLong();
        return store.grantLease(retention.plus(REUSE_PERIOD))
                .peek(lease -> granted.set(new GrantedLease(lease, requestedAt)))
                .mapLeft(RetentionLease::asNotWritten);
    }

    private boolean isUsable(GrantedLease current) {
        return current != null
                && clockMilliseconds.getAsLong() - current.requestedAtMilliseconds() < REUSE_PERIOD.toMillis();
    }

    /** Without a lease no claim is written, so an undetermined failure becomes a determined one. */
    private static StoreFailure asNotWritten(StoreFailure failure) {
        return failure.isUndetermined()
                ? new StoreFailure.Unreachable("lease could not be granted: " + failure)
                : failure;
    }
}
