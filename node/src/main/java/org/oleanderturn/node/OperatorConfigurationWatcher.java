package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
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
import org.oleanderturn.traffic.Pause;

/**
 * Watches the operator's configuration in the platform's store and adopts each new version.
 *
 * <p>Invariant: a configuration that can't be decoded is rejected as a whole and logged. {@link #runOnce} must be called
 * by one thread at a time; queries are thread safe.
 */
final class OperatorConfigurationWatcher {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /**
     * How long a watch waits. A watch that ends without a new version confirms the one before, which other nodes trust for
     * {@link RelayCheck#SUPPLY_VALIDITY}, so this and the time between two checks have to be shorter.
     */
    private static final Duration WATCH_TIMEOUT = Duration.ofMillis(900);

    /** A version that came this long after its watch was sent is confirmed at once, as it is dated back to then. */
    private static final Duration LATE_VERSION = Duration.ofMillis(200);

    /** Delay after a read, so that versions in quick succession cost one call instead of one each. */
    private static final long READ_DELAY_MILLISECONDS = 300;

    /** The same after a second version within {@link #QUICK_SUCCESSION}. */
    private static final long LONG_READ_DELAY_MILLISECONDS = 500;

    private static final Duration QUICK_SUCCESSION = Duration.ofSeconds(1);

    /** How long after its first contact a node that has just started knows most of its zone. */
    private static final Duration SETTLING_TIME = Duration.ofMillis(500);

    /** No time of the clock. */
    private static final long NO_PEER_YET = Long.MIN_VALUE;

    /** How often a request looks whether the confirmation that another one has asked for has come. */
    private static final Duration CONFIRMATION_CHECK_INTERVAL = Duration.ofMillis(5);

    /** How long a request waits for it. */
    private static final Duration LONGEST_CONFIRMATION = Duration.ofMillis(500);

    /** A store that is slow to all nodes answers within this time; longer, and another node had better ask. */
    private static final Duration USUAL_CONFIRMATION = Duration.ofMillis(400);

    /** How long a node that has just started looks for the relay of its zone before it takes itself for it. */
    private static final Duration SEARCH_TIME = Duration.ofSeconds(4);

    /** How often a node that receives configurations from a relay checks whether it has to read the store itself. */
    private static final long ROLE_CHECK_DELAY_MILLISECONDS = 50;

    /** Backoff after failed calls is short, because a change has to be active within two seconds. */
    private static final Duration MINIMUM_BACKOFF = Duration.ofMillis(100);

    private static final Duration MAXIMUM_BACKOFF = Duration.ofMillis(600);

    /**
     * How long a node without a configuration leaves the store alone after a read that had no response; each further one
     * doubles it. The values that the nodes of a region asked for are still on its link then, and asking again would add more
     * than the link carries meanwhile.
     */
    private static final Duration MINIMUM_FIRST_READ_PAUSE = Duration.ofSeconds(2);

    private static final Duration MAXIMUM_FIRST_READ_PAUSE = Duration.ofSeconds(8);

    /**
     * How long after a response of the store this node still counts as reading it: a watch and its way. Other nodes trust that
     * for a moment, so that it adds to the time after which they read the store themselves.
     */
    private static final Duration READING_PERIOD = WATCH_TIMEOUT.plusMillis(150);

    /** How long after a response the store is asked for a confirmation; the answer may be waited for in vain after that. */
    private static final Duration CONFIRMABLE_PERIOD = Duration.ofMillis(5_500);

    /** How long a response may take to arrive and be adopted while this node counts as reading. */
    private static final Duration LONGEST_RECEPTION = Duration.ofSeconds(2);

    /**
     * A version that was the newest in the store at a time; the revision is {@link StoredValue#ABSENT} when another node read
     * it.
     */
    record Confirmation(ConfigurationVersion version, long revision, long nanoseconds) {}

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
    private final BooleanSupplier isFleetRunning;
    private final BooleanSupplier hasPeers;
    private final BooleanSupplier isSupplied;
    private final LongSupplier clockNanoseconds;
    private final Backoff backoff;
    private final Backoff firstReadBackoff;
    private final AtomicReference<Optional<StoreFailure>> failure = new AtomicReference<>(Optional.empty());
    private final AtomicReference<Optional<Confirmation>> confirmation = new AtomicReference<>(Optional.empty());
    private final AtomicReference<LastRead> lastRead = new AtomicReference<>(LastRead.understood());
    private final Pause pause;
    private final AtomicReference<OptionalLong> confirmingSince = new AtomicReference<>(OptionalLong.empty());
    private final long createdNanoseconds;
    private volatile long lastResponseNanoseconds;
    private volatile boolean isReceiving;
    private volatile boolean hasRead;
    private long seenRevision = StoredValue.ABSENT;
    private final AtomicLong firstPeer = new AtomicLong(NO_PEER_YET);
    private long lastVersionNanoseconds;
    private Duration nextWait = WATCH_TIMEOUT;

    /** The version held at the last read because of it: a store that came back from an older copy may never have it. */
    private ConfigurationVersion overtakenBy = ConfigurationVersion.none();

    private boolean isReader;
    private int failures;
    private int unansweredFirstReads;
    private long nextFirstReadNanoseconds;

    OperatorConfigurationWatcher(
            Store store,
            ConfigurationHolder holder,
            ReadinessGate readinessGate,
            RelayRole role,
            BooleanSupplier isFleetRunning,
            BooleanSupplier hasPeers,
            BooleanSupplier isSupplied,
            LongSupplier clockNanoseconds,
            Pause pause,
            RandomGenerator random) {
        this.pause = Objects.requireNonNull(pause, "pause is null");
        this.isFleetRunning = Objects.requireNonNull(isFleetRunning, "isFleetRunning is null");
        this.hasPeers = Objects.requireNonNull(hasPeers, "hasPeers is null");
        this.store = Objects.requireNonNull(store, "store is null");
        this.holder = Objects.requireNonNull(holder, "holder is null");
        this.role = Objects.requireNonNull(role, "role is null");
        this.isSupplied = Objects.requireNonNull(isSupplied, "isSupplied is null");
        this.clockNanoseconds = Objects.requireNonNull(clockNanoseconds, "clockNanoseconds is null");
        this.createdNanoseconds = clockNanoseconds.getAsLong();
        this.lastVersionNanoseconds = createdNanoseconds - QUICK_SUCCESSION.toNanos();
        this.readinessGate = Objects.requireNonNull(readinessGate, "readinessGate is null");
        this.backoff = Backoff.of(MINIMUM_BACKOFF, MAXIMUM_BACKOFF, random);
        this.firstReadBackoff = Backoff.of(MINIMUM_FIRST_READ_PAUSE, MAXIMUM_FIRST_READ_PAUSE, random);
        this.nextFirstReadNanoseconds = createdNanoseconds;
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

    /** Returns whether this node reads the store and understands what it reads, so that it has a new version soon. */
    boolean isReading() {
        return hasResponseWithin(isReceiving ? LONGEST_RECEPTION : READING_PERIOD);
    }

    /** Returns whether the last response of the store is recent, was understood and was followed by no failure. */
    private boolean hasResponseWithin(Duration period) {
        return hasRead
                && failure.get().isEmpty()
                && unreadable().isEmpty()
                && !isConfirmationOverdue()
                && clockNanoseconds.getAsLong() - lastResponseNanoseconds < period.toNanos();
    }

    /** Returns whether the store takes unusually long to confirm a version; it may be silent to this node only. */
    private boolean isConfirmationOverdue() {
        OptionalLong since = confirmingSince.get();
        return since.isPresent() && clockNanoseconds.getAsLong() - since.getAsLong() > USUAL_CONFIRMATION.toNanos();
    }

    /**
     * Reads the configuration or waits until it changes, unless a relay of the zone does so and answers; returns the delay
     * before the next run, in milliseconds.
     */
    long runOnce() {
        if (isFirstReadPaused()) {
            return ROLE_CHECK_DELAY_MILLISECONDS;
        }
        if (!hasRead && unansweredFirstReads == 0 && isFleetRunning.getAsBoolean()) {
            // A node that comes back serves sooner by one call of its own than by the word of others that come back,
            // too.
            return read();
        }
        boolean isNowReader = !isSearchingRelay() && (role.isRelay(0) || !isSupplied.getAsBoolean());
        if (isNowReader != isReader) {
            isReader = isNowReader;
            log.atInfo().log("reads configurations from the platform store itself: %s", isReader);
        }
        return isReader ? read() : ROLE_CHECK_DELAY_MILLISECONDS;
    }

    /** Returns whether this node waits for others to pass a configuration on; the relay of a zone reads for these. */
    private boolean isFirstReadPaused() {
        return clockNanoseconds.getAsLong() - nextFirstReadNanoseconds < 0
                && holder.version().equals(ConfigurationVersion.none())
                && !(hasPeers.getAsBoolean() && role.isRelay(0));
    }

    /** Returns whether a node that has just started may still find the others, of which one reads for all. */
    boolean isSearchingRelay() {
        long now = clockNanoseconds.getAsLong();
        if (now - createdNanoseconds >= SEARCH_TIME.toNanos()) {
            return false;
        }
        if (!hasPeers.getAsBoolean()) {
            return true;
        }
        firstPeer.compareAndSet(NO_PEER_YET, now);
        return now - firstPeer.get() < SETTLING_TIME.toNanos();
    }

    /** Asks the store whether the version held is still the newest, or waits until another thread has asked. */
    void confirm() {
        Optional<Confirmation> last = confirmation.get();
        if (last.isEmpty() || !hasResponseWithin(CONFIRMABLE_PERIOD)) {
            return;
        }
        long sent = clockNanoseconds.getAsLong();
        OptionalLong idle = confirmingSince.get();
        if (idle.isPresent() || !confirmingSince.compareAndSet(idle, OptionalLong.of(sent))) {
            awaitConfirmation();
            return;
        }
        try {
            Either<StoreFailure, Boolean> unchanged =
                    store.isUnchanged(OperatorConfiguration.KEY, last.get().revision());
            unchanged.peekLeft(this::recordFailure);
            if (unchanged.getOrElse(false)) {
                confirmUnchanged(last.get(), sent);
            }
        } finally {
            confirmingSince.set(OptionalLong.empty());
        }
    }

    private void awaitConfirmation() {
        long end = clockNanoseconds.getAsLong() + LONGEST_CONFIRMATION.toNanos();
        try {
            while (confirmingSince.get().isPresent() && clockNanoseconds.getAsLong() < end) {
                pause.pass(CONFIRMATION_CHECK_INTERVAL);
            }
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads once; ends the reception also when an error leaves the read. */
    private long read() {
        try {
            return readOnce();
        } finally {
            isReceiving = false;
        }
    }

    private void beginReception() {
        lastResponseNanoseconds = clockNanoseconds.getAsLong();
        isReceiving = true;
    }

    private long readOnce() {
        long sent = clockNanoseconds.getAsLong();
        Duration wait = nextWait;
        nextWait = WATCH_TIMEOUT;
        ConfigurationVersion held = holder.version();
        boolean isOvertaken = isOvertaken(held);
        Either<StoreFailure, Optional<StoredValue>> read = hasRead && !isOvertaken
                ? store.watch(OperatorConfiguration.KEY, seenRevision, wait, this::beginReception)
                : store.get(OperatorConfiguration.KEY, this::beginReception);
        if (read.isLeft()) {
            return recordFailedRead(read.getLeft());
        }
        if (failure.getAndSet(Optional.empty()).isPresent()) {
            log.atInfo().log("platform store is available again");
        }
        failures = 0;
        lastResponseNanoseconds = clockNanoseconds.getAsLong();
        hasRead = true;
        overtakenBy = isOvertaken ? held : overtakenBy;
        holder.record(new VersionEvent.StoreRead());
        if (read.get().isPresent()) {
            observe(read.get().get(), sent);
            boolean isLate = lastResponseNanoseconds - sent > LATE_VERSION.toNanos();
            lastResponseNanoseconds = clockNanoseconds.getAsLong();
            if (isLate) {
                confirm();
            }
            long delay = delayAfterVersion();
            // So that a version is confirmed as soon as it is by the other watches.
            nextWait = WATCH_TIMEOUT.minus(LATE_VERSION).minusMillis(delay);
            return delay;
        }
        if (holder.version().equals(ConfigurationVersion.none())) {
            readinessGate.observeHead(ConfigurationVersion.none());
        }
        if (lastResponseNanoseconds - sent < wait.toNanos()) {
            // Something but a new version ended the watch.
            return READ_DELAY_MILLISECONDS;
        }
        // The store has waited that long, while the answer may have taken longer on its way.
        confirmation.get().ifPresent(last -> confirmUnchanged(last, sent + wait.toNanos()));
        return 0;
    }

    /**
     * Returns whether other nodes have passed on a version that this node has not seen in the store yet. A watch would then
     * return the whole value of each version since, which together can fill the link to the store for seconds.
     */
    private boolean isOvertaken(ConfigurationVersion held) {
        return !held.equals(overtakenBy)
                && confirmation
                        .get()
                        .filter(confirmed -> held.isAfter(confirmed.version()))
                        .isPresent();
    }

    /** Records that a read failed; returns the delay before the next run, in milliseconds. */
    private long recordFailedRead(StoreFailure cause) {
        recordFailure(cause);
        if (!hasRead && cause instanceof StoreFailure.Undetermined) {
            unansweredFirstReads++;
            Duration pauseOfReads = firstReadBackoff.delay(unansweredFirstReads);
            nextFirstReadNanoseconds = clockNanoseconds.getAsLong() + pauseOfReads.toNanos();
            log.atInfo().log(
                    "leaves the platform store alone for %s ms, its answer may be queued", pauseOfReads.toMillis());
        }
        failures++;
        return backoff.delay(failures).toMillis();
    }

    private void recordFailure(StoreFailure cause) {
        if (failure.getAndSet(Optional.of(cause)).isEmpty()) {
            log.atWarning().log("platform store is unavailable: %s", cause);
        }
    }

    private long delayAfterVersion() {
        long now = clockNanoseconds.getAsLong();
        boolean isQuickSuccession = now - lastVersionNanoseconds < QUICK_SUCCESSION.toNanos();
        lastVersionNanoseconds = now;
        return isQuickSuccession ? LONG_READ_DELAY_MILLISECONDS : READ_DELAY_MILLISECONDS;
    }

    /** Keeps a confirmation that is newer, or of another version that was read meanwhile. */
    private void confirmUnchanged(Confirmation confirmed, long sentNanoseconds) {
        confirmation.updateAndGet(known ->
                known.map(last -> last.revision() == confirmed.revision() && sentNanoseconds - last.nanoseconds() > 0
                        ? new Confirmation(last.version(), last.revision(), sentNanoseconds)
                        : last));
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
        confirmation.set(Optional.of(new Confirmation(newest, stored.revision(), sentNanoseconds)));
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
