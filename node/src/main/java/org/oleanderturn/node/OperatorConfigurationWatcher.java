package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.distribution.AdoptionResult;
import org.oleanderturn.distribution.ConfigurationHolder;
import org.oleanderturn.distribution.ReadinessGate;
import org.oleanderturn.distribution.RelayRole;
import org.oleanderturn.distribution.VersionEvent;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.DecodeFailure;
import org.oleanderturn.platform.DecodedConfiguration;
import org.oleanderturn.platform.OperatorConfiguration;
import org.oleanderturn.platform.UnknownWord;
import org.oleanderturn.store.Backoff;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;

/**
 * Watches the operator's configuration in the platform's store and adopts each new version.
 *
 * <p>Invariant: a configuration that can't be decoded is rejected as a whole and logged. {@link #runOnce} must be called
 * by one thread at a time; queries are thread safe.
 */
final class OperatorConfigurationWatcher {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Short enough that a dead connection is detected soon. */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(1);

    /** Delay between two calls, so that versions in quick succession cost one call instead of one each. */
    private static final long READ_DELAY_MILLISECONDS = 300;

    /** How often a node that receives configurations from a relay checks whether it has become the relay itself. */
    private static final long ROLE_CHECK_DELAY_MILLISECONDS = 200;

    /** Backoff after failed calls is short, because a change has to be active within two seconds. */
    private static final Duration MINIMUM_BACKOFF = Duration.ofMillis(100);

    private static final Duration MAXIMUM_BACKOFF = Duration.ofMillis(600);

    /** How long after a response of the store this node still counts as reading it: a watch, a pause and some more. */
    private static final Duration READING_PERIOD = Duration.ofMillis(2_500);

    /** The wait of a watch while confirmations are wanted, so that the store often says that nothing has changed. */
    private static final Duration CONFIRMING_WATCH_TIMEOUT = Duration.ofMillis(300);

    /** For how long confirmations are wanted after they were requested. */
    private static final Duration CONFIRMING_PERIOD = Duration.ofSeconds(20);

    /** A version that was the newest in the store at a time. */
    record Confirmation(ConfigurationVersion version, long nanoseconds) {}

    /** What could not be understood in the last configuration that was read. */
    private record LastRead(Optional<DecodeFailure> unreadable, List<UnknownWord> unknownWords) {
        static LastRead understood() {
            return new LastRead(Optional.empty(), List.of());
        }
    }

    private final Store store;
    private final ConfigurationHolder holder;
    private final ReadinessGate readinessGate;
    private final RelayRole role;
    private final BooleanSupplier isSupplied;
    private final LongSupplier clockNanoseconds;
    private final Backoff backoff;
    private final AtomicReference<Optional<StoreFailure>> failure = new AtomicReference<>(Optional.empty());
    private final AtomicReference<Optional<Confirmation>> confirmation = new AtomicReference<>(Optional.empty());
    private final AtomicReference<LastRead> lastRead = new AtomicReference<>(LastRead.understood());
    private volatile long confirmingUntilNanoseconds;
    private volatile long lastResponseNanoseconds;
    private volatile boolean hasRead;
    private long seenRevision = StoredValue.ABSENT;
    private int failures;

    OperatorConfigurationWatcher(
            Store store,
            ConfigurationHolder holder,
            ReadinessGate readinessGate,
            RelayRole role,
            BooleanSupplier isSupplied,
            LongSupplier clockNanoseconds,
            RandomGenerator random) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.holder = Objects.requireNonNull(holder, "holder is null");
        this.role = Objects.requireNonNull(role, "role is null");
        this.isSupplied = Objects.requireNonNull(isSupplied, "isSupplied is null");
        this.clockNanoseconds = Objects.requireNonNull(clockNanoseconds, "clockNanoseconds is null");
        this.confirmingUntilNanoseconds = clockNanoseconds.getAsLong();
        this.readinessGate = Objects.requireNonNull(readinessGate, "readinessGate is null");
        this.backoff = Backoff.of(MINIMUM_BACKOFF, MAXIMUM_BACKOFF, random);
    }

    /** Returns why the store currently can't be read; empty when it can. */
    Optional<StoreFailure> failure() {
        return failure.get();
    }

    /** Returns the last version that this node knows to have been the newest, and when; empty before the first. */
    Optional<Confirmation> confirmation() {
        return confirmation.get();
    }

    /** Returns why the newest configuration in the store can't be decoded, so that an older one stays in force here. */
    Optional<DecodeFailure> unreadable() {
        return lastRead.get().unreadable();
    }

    /** Returns the words of the newest configuration in the store that this release does not know. */
    List<UnknownWord> unknownWords() {
        return lastRead.get().unknownWords();
    }

    /** Lets the store be asked more often for a while whether there is a newer version. */
    void requestConfirmations() {
        confirmingUntilNanoseconds = clockNanoseconds.getAsLong() + CONFIRMING_PERIOD.toNanos();
    }

    /** Returns whether this node reads the store and understands what it reads, so that it has a new version soon. */
    boolean isReading() {
        return hasRead
                && failure.get().isEmpty()
                && unreadable().isEmpty()
                && clockNanoseconds.getAsLong() - lastResponseNanoseconds < READING_PERIOD.toNanos();
    }

    /**
     * Reads the configuration or waits until it changes, unless a relay of the zone does so and answers; returns the delay
     * before the next run, in milliseconds.
     */
    long runOnce() {
        boolean isSuppliedByRelay = hasRead
                && !holder.version().equals(ConfigurationVersion.none())
                && !role.isRelay(0)
                && isSupplied.getAsBoolean();
        return isSuppliedByRelay ? ROLE_CHECK_DELAY_MILLISECONDS : read();
    }

    private long read() {
        long sent = clockNanoseconds.getAsLong();
        Duration wait = confirmingUntilNanoseconds - sent > 0 ? CONFIRMING_WATCH_TIMEOUT : WATCH_TIMEOUT;
        Either<StoreFailure, Optional<StoredValue>> read = hasRead
                ? store.watch(OperatorConfiguration.KEY, seenRevision, wait)
                : store.get(OperatorConfiguration.KEY);
        if (read.isLeft()) {
            if (failure.getAndSet(Optional.of(read.getLeft())).isEmpty()) {
                log.atWarning().log("platform store is unavailable: %s", read.getLeft());
            }
            failures++;
            return backoff.delay(failures).toMillis();
        }
        if (failure.getAndSet(Optional.empty()).isPresent()) {
            log.atInfo().log("platform store is available again");
        }
        failures = 0;
        lastResponseNanoseconds = clockNanoseconds.getAsLong();
        hasRead = true;
        holder.record(new VersionEvent.StoreRead());
        if (read.get().isEmpty()) {
            confirmUnchanged(sent, wait);
        }
        if (read.get().isPresent()) {
            observe(read.get().get(), sent);
        } else if (holder.version().equals(ConfigurationVersion.none())) {
            readinessGate.observeHead(ConfigurationVersion.none());
        }
        return READ_DELAY_MILLISECONDS;
    }

    /** Dates the confirmation back to the request, as the answer may have taken long on its way. */
    private void confirmUnchanged(long sentNanoseconds, Duration wait) {
        boolean isWholeWait = clockNanoseconds.getAsLong() - sentNanoseconds >= wait.toNanos();
        if (isWholeWait) {
            confirmation.updateAndGet(known -> known.map(last -> new Confirmation(last.version(), sentNanoseconds)));
        }
    }

    private void observe(StoredValue stored, long sentNanoseconds) {
        seenRevision = stored.revision();
        Either<DecodeFailure, DecodedConfiguration> decoded = OperatorConfiguration.decode(stored.value());
        if (decoded.isLeft()) {
            refuse(stored.revision(), decoded.getLeft());
            return;
        }
        lastRead.set(new LastRead(Optional.empty(), decoded.get().unknownWords()));
        logUnknownWords(stored.revision(), decoded.get().unknownWords());
        ConfigurationSnapshot snapshot = decoded.get().snapshot();
        readinessGate.observeHead(snapshot.version());
        AdoptionResult result = holder.adopt(snapshot);
        // A rejected version never gets in force, so the one before it still is.
        ConfigurationVersion newest = result instanceof AdoptionResult.Rejected ? holder.version() : snapshot.version();
        confirmation.set(Optional.of(new Confirmation(newest, sentNanoseconds)));
        log.atInfo().log("configuration at revision %s: %s", stored.revision(), result);
    }

    /** Keeps the configuration in force; which version is the newest is not known any more. */
    private void refuse(long revision, DecodeFailure cause) {
        lastRead.set(new LastRead(Optional.of(cause), List.of()));
        confirmation.set(Optional.empty());
        log.atSevere().log(
                "configuration at revision %s refused, version %s stays in force: field \"%s\": %s",
                revision, holder.version(), cause.path(), cause.reason());
    }

    private static void logUnknownWords(long revision, List<UnknownWord> unknownWords) {
        if (unknownWords.isEmpty()) {
            return;
        }
        UnknownWord first = unknownWords.getFirst();
        log.atWarning().log(
                "configuration at revision %s has %s unknown words; the first, \"%s\" in field \"%s\", is treated as %s",
                revision, unknownWords.size(), first.word(), first.path(), first.treatedAs());
    }
}
