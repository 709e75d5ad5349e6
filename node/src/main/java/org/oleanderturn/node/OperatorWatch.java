package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.oleanderturn.distribution.AdoptionResult;
import org.oleanderturn.distribution.ConfigurationHolder;
import org.oleanderturn.distribution.ReadinessGate;
import org.oleanderturn.distribution.RelayRole;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.DecodeFailure;
import org.oleanderturn.platform.OperatorConfiguration;
import org.oleanderturn.store.Backoff;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;

/**
 * Learns the operator's configurations from the platform's store.
 *
 * <p>Invariant: a configuration that can't be read is kept out whole and logged. {@link #runOnce} is for one thread at a
 * time; queries are thread safe.
 */
final class OperatorWatch {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** The longest wait of one watch; short enough that a watch whose connection went silent is found soon. */
    private static final Duration WATCH_WAIT = Duration.ofSeconds(3);

    /** Kept between two calls, so that versions in quick succession cost one call and not one each. */
    private static final long PACE_MILLISECONDS = 300;

    /** How often a node that is told of configurations by others looks whether it has to read them itself. */
    private static final long IDLE_MILLISECONDS = 200;

    /** The first and the longest pause after a failed call: a change has to be in force within two seconds. */
    private static final Duration SHORTEST_PAUSE = Duration.ofMillis(100);

    private static final Duration LONGEST_PAUSE = Duration.ofMillis(600);

    private final Store store;
    private final ConfigurationHolder holder;
    private final ReadinessGate floor;
    private final RelayRole role;
    private final Backoff backoff;
    private final AtomicReference<Optional<StoreFailure>> failure = new AtomicReference<>(Optional.empty());
    private long seenRevision = StoredValue.ABSENT;
    private boolean hasRead;
    private int failures;

    OperatorWatch(
            Store store, ConfigurationHolder holder, ReadinessGate floor, RelayRole role, RandomGenerator random) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.holder = Objects.requireNonNull(holder, "holder is null");
        this.role = Objects.requireNonNull(role, "role is null");
        this.floor = Objects.requireNonNull(floor, "floor is null");
        this.backoff = Backoff.of(SHORTEST_PAUSE, LONGEST_PAUSE, random);
    }

    /** Returns why the store can't be read now; empty when it can. */
    Optional<StoreFailure> failure() {
        return failure.get();
    }

    /**
     * Reads the configuration, or waits until it changes, unless another node of the zone does; returns how long to pause,
     * in milliseconds.
     */
    long runOnce() {
        boolean isFed = hasRead && !holder.version().equals(ConfigurationVersion.none()) && !role.isRelay(0);
        return isFed ? IDLE_MILLISECONDS : read();
    }

    private long read() {
        Either<StoreFailure, Optional<StoredValue>> read = hasRead
                ? store.watch(OperatorConfiguration.KEY, seenRevision, WATCH_WAIT)
                : store.get(OperatorConfiguration.KEY);
        if (read.isLeft()) {
            if (failure.getAndSet(Optional.of(read.getLeft())).isEmpty()) {
                log.atWarning().log("the platform's store is lost: %s", read.getLeft());
            }
            failures++;
            return backoff.delay(failures).toMillis();
        }
        if (failure.getAndSet(Optional.empty()).isPresent()) {
            log.atInfo().log("the platform's store is back");
        }
        failures = 0;
        hasRead = true;
        if (read.get().isPresent()) {
            observe(read.get().get());
        } else if (holder.version().equals(ConfigurationVersion.none())) {
            floor.observeHead(ConfigurationVersion.none());
        }
        return PACE_MILLISECONDS;
    }

    private void observe(StoredValue stored) {
        seenRevision = stored.revision();
        Either<DecodeFailure, ConfigurationSnapshot> decoded = OperatorConfiguration.decode(stored.value());
        if (decoded.isLeft()) {
            log.atSevere().atMostEvery(1, TimeUnit.SECONDS).log(
                    "configuration at revision %s can't be read: %s", stored.revision(), decoded.getLeft());
            return;
        }
        floor.observeHead(decoded.get().version());
        AdoptionResult adoption = holder.adopt(decoded.get());
        log.atInfo().log("configuration at revision %s: %s", stored.revision(), adoption);
    }
}
