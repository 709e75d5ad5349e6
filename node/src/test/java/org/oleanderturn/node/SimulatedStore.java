package org.oleanderturn.node;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.oleanderturn.store.LeaseId;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;

/** The platform's store in simulated time, as a node reaches it. Used by one task at a time. */
final class SimulatedStore implements Store {
    private static final Duration DELAY = Duration.ofMillis(4);
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    /** What the store keeps; shared by all nodes. */
    static final class Content {
        private final Map<String, StoredValue> values = new TreeMap<>();
        private long revision;
        private long lease;
        private boolean isAvailable = true;
        private List<SimulatedTime.Pending<Boolean>> watches = new ArrayList<>();

        boolean isAvailable() {
            return isAvailable;
        }

        void setAvailable(boolean available) {
            isAvailable = available;
            notifyWatches();
        }

        private void notifyWatches() {
            List<SimulatedTime.Pending<Boolean>> notified = watches;
            watches = new ArrayList<>();
            notified.forEach(watch -> watch.complete(true));
        }
    }

    private final SimulatedTime time;
    private final Content content;

    SimulatedStore(SimulatedTime time, Content content) {
        this.time = time;
        this.content = content;
    }

    // -- queries

    @Override
    public Either<StoreFailure, Optional<StoredValue>> get(String key) {
        return call().map(_ -> Optional.ofNullable(content.values.get(key)));
    }

    @Override
    public Either<StoreFailure, List<StoredValue>> list(String prefix) {
        return call().map(_ -> content.values.values().stream()
                .filter(value -> value.key().startsWith(prefix))
                .toList());
    }

    @Override
    public Either<StoreFailure, Boolean> isUnchanged(String key, long knownRevision) {
        return call().map(_ -> !isChanged(key, knownRevision));
    }

    @Override
    public Either<StoreFailure, Optional<StoredValue>> watch(String key, long knownRevision, Duration wait) {
        return call().flatMap(_ -> {
            long end = time.nanoseconds() + wait.toNanos();
            while (isUp() && time.nanoseconds() < end && !isChanged(key, knownRevision)) {
                SimulatedTime.Pending<Boolean> change = time.pending();
                content.watches.add(change);
                var _ = change.await(Duration.ofNanos(end - time.nanoseconds()));
            }
            if (!isUp()) {
                return Either.left(new StoreFailure.Undetermined("the watch was cut"));
            }
            return Either.right(
                    isChanged(key, knownRevision) ? Optional.ofNullable(content.values.get(key)) : Optional.empty());
        });
    }

    private boolean isChanged(String key, long knownRevision) {
        return revisionOf(key) != knownRevision;
    }

    private long revisionOf(String key) {
        return content.values.containsKey(key) ? content.values.get(key).revision() : StoredValue.ABSENT;
    }

    // -- commands

    @Override
    public Either<StoreFailure, Long> compareAndSwap(String key, long expectedRevision, byte[] value) {
        return call().flatMap(_ -> {
            if (revisionOf(key) != expectedRevision) {
                return Either.left(new StoreFailure.Conflict(revisionOf(key)));
            }
            content.values.put(key, StoredValue.of(key, ++content.revision, value));
            content.notifyWatches();
            return Either.right(content.revision);
        });
    }

    @Override
    public Either<StoreFailure, Long> compareAndSwapLeased(
            String key, long expectedRevision, byte[] value, LeaseId lease) {
        return compareAndSwap(key, expectedRevision, value);
    }

    @Override
    public Either<StoreFailure, Long> remove(String key, long expectedRevision) {
        throw new UnsupportedOperationException("not used by a data plane");
    }

    @Override
    public Either<StoreFailure, LeaseId> grantLease(Duration timeToLive) {
        return call();
    }

    @Override
    public Either<StoreFailure, LeaseId> keepAlive(LeaseId lease) {
        throw new UnsupportedOperationException("not used by a data plane");
    }

    @Override
    public Either<StoreFailure, LeaseId> revokeLease(LeaseId lease) {
        throw new UnsupportedOperationException("not used by a data plane");
    }

    private boolean isUp() {
        return content.isAvailable;
    }

    private Either<StoreFailure, LeaseId> call() {
        time.sleep(DELAY);
        if (isUp()) {
            return Either.right(LeaseId.of(++content.lease));
        }
        time.sleep(TIMEOUT);
        return Either.left(new StoreFailure.Unreachable("timed out"));
    }
}
