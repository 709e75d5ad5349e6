package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.distribution.RelayRole;
import org.oleanderturn.model.Codec;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreFailure;
import org.oleanderturn.store.StoredValue;
import org.oleanderturn.traffic.CrashLedger;
import org.oleanderturn.traffic.CrashSuspicion;
import org.oleanderturn.traffic.Fingerprint;

/**
 * Keeps a copy of the {@link CrashLedger} in the platform's store, for zones that reach the store but not each other, and
 * for a fleet whose nodes all start again.
 *
 * <p>Every node reads the copy when it starts; after that the relay of a zone watches it and adds what it lacks. The copy
 * is an aid: without the store, nodes tell each other. Invariant: a write replaces only the revision that was read and
 * contains everything it said. {@link #read} and {@link #write} are each called by one thread at a time,
 * {@link #claimTrial} and {@link #keep} are thread safe.
 */
final class SuspicionStore {
    /** The key of the copy. */
    static final String KEY = "suspicions/all";

    private static final String TRIAL_PREFIX = "suspicions/trial/";

    /** A request that is not cleared by its trial is not tried again for longer than this. */
    private static final Duration CLAIM_LIFETIME = Duration.ofMinutes(10);

    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(4);
    private static final long READ_DELAY_MILLISECONDS = 300;
    private static final long RETRY_DELAY_MILLISECONDS = 1_000;
    private static final long ROLE_CHECK_DELAY_MILLISECONDS = 500;

    /** Relays of all zones learn of a change at about the same time; one write is enough. */
    private static final long SHORTEST_WRITE_DELAY_MILLISECONDS = 400;

    private static final long LONGEST_WRITE_DELAY_MILLISECONDS = 1_200;

    /** How often {@link #keep} tries to write when others write at the same time. */
    private static final int KEEP_ATTEMPTS = 3;

    /** The stored copy; ages are as of the given time of the writer's wall clock, in milliseconds since the epoch. */
    record Copy(long writtenMilliseconds, List<CrashSuspicion> suspicions) {

        /** Copies the list. */
        Copy {
            suspicions = List.copyOf(suspicions);
        }
    }

    /** What was read last; {@link StoredValue#ABSENT} and nothing when there was no copy. */
    private record Known(long revision, Map<Fingerprint, CrashSuspicion> suspicions) {}

    private final Store store;
    private final CrashLedger ledger;
    private final RelayRole role;
    private final Consumer<List<CrashSuspicion>> publisher;
    private final LongSupplier wallClock;
    private final RandomGenerator random;
    private volatile Optional<Known> known = Optional.empty();

    SuspicionStore(
            Store store,
            CrashLedger ledger,
            RelayRole role,
            Consumer<List<CrashSuspicion>> publisher,
            LongSupplier wallClock,
            RandomGenerator random) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.ledger = Objects.requireNonNull(ledger, "ledger is null");
        this.role = Objects.requireNonNull(role, "role is null");
        this.publisher = Objects.requireNonNull(publisher, "publisher is null");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock is null");
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /** Reads the copy, or waits until it changes; returns the delay before the next read, in milliseconds. */
    long read() {
        Optional<Known> last = known;
        if (last.isPresent() && !role.isRelay(0)) {
            return ROLE_CHECK_DELAY_MILLISECONDS;
        }
        Either<StoreFailure, Optional<StoredValue>> read =
                last.isPresent() ? store.watch(KEY, last.get().revision(), WATCH_TIMEOUT) : readFirst();
        if (read.isLeft()) {
            log.atFine().atMostEvery(1, TimeUnit.SECONDS).log("suspicions can't be read: %s", read.getLeft());
            return RETRY_DELAY_MILLISECONDS;
        }
        if (read.get().isPresent()) {
            observe(read.get().get());
        } else if (last.isEmpty()) {
            known = Optional.of(new Known(StoredValue.ABSENT, Map.of()));
        }
        return READ_DELAY_MILLISECONDS;
    }

    /** A relay reads the newest copy at its next run; the others are told by it what the first read did not have. */
    private Either<StoreFailure, Optional<StoredValue>> readFirst() {
        return store.getStale(KEY);
    }

    /** Writes what the copy lacks, if this node is the relay; returns the delay before the next check, in milliseconds. */
    long write() {
        long delay = random.nextLong(SHORTEST_WRITE_DELAY_MILLISECONDS, LONGEST_WRITE_DELAY_MILLISECONDS);
        Optional<Known> last = known;
        List<CrashSuspicion> own = ledger.suspicions();
        if (last.isEmpty() || !role.isRelay(0) || own.stream().allMatch(mine -> isKnown(last.get(), mine))) {
            return delay;
        }
        byte[] copy = Codec.messagePack().encode(new Copy(wallClock.getAsLong(), own));
        Either<StoreFailure, Long> written =
                store.compareAndSwap(KEY, last.get().revision(), copy);
        written.peek(revision -> known = Optional.of(new Known(revision, byFingerprint(own))));
        written.peekLeft(failure -> {
            log.atFine().atMostEvery(1, TimeUnit.SECONDS).log("suspicions can't be written: %s", failure);
            known = Optional.empty();
        });
        return delay;
    }

    /**
     * Claims the trial of a request at a level for this node; false if another node has claimed it, and if the store can't
     * be reached, as that leaves open who has. Blocks for the calls to the store.
     */
    boolean claimTrial(Fingerprint fingerprint, int level) {
        String key = TRIAL_PREFIX + fingerprint + "/" + level;
        Either<StoreFailure, Long> claimed = store.grantLease(CLAIM_LIFETIME)
                .flatMap(lease -> store.compareAndSwapLeased(key, StoredValue.ABSENT, new byte[0], lease));
        claimed.peekLeft(failure -> log.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                "trial of request %s was not claimed: %s", fingerprint, failure));
        return claimed.isRight();
    }

    /** Adds what this node knows to the copy at once; gives up if the store can't be reached. Blocks. */
    void keep() {
        for (int attempt = 0; attempt < KEEP_ATTEMPTS; attempt++) {
            Either<StoreFailure, Optional<StoredValue>> read = store.get(KEY);
            read.forEach(stored -> stored.ifPresent(this::observe));
            byte[] copy = Codec.messagePack().encode(new Copy(wallClock.getAsLong(), ledger.suspicions()));
            Either<StoreFailure, Long> written = read.flatMap(stored ->
                    store.compareAndSwap(KEY, stored.map(StoredValue::revision).orElse(StoredValue.ABSENT), copy));
            if (!(written.swap().getOrNull() instanceof StoreFailure.Conflict)) {
                written.peekLeft(failure -> log.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                        "suspicions can't be kept in the store: %s", failure));
                return;
            }
        }
    }

    private void observe(StoredValue stored) {
        Either<?, Copy> decoded = Codec.messagePack().decode(stored.value(), Copy.class);
        if (decoded.isLeft()) {
            log.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "suspicions at revision %s can't be decoded: %s", stored.revision(), decoded.getLeft());
            known = Optional.of(new Known(stored.revision(), Map.of()));
            return;
        }
        Copy copy = decoded.get();
        long elapsed = Math.max(0, wallClock.getAsLong() - copy.writtenMilliseconds());
        List<CrashSuspicion> aged = copy.suspicions().stream()
                .map(suspicion -> suspicion.agedBy(elapsed))
                .toList();
        known = Optional.of(new Known(stored.revision(), byFingerprint(aged)));
        List<CrashSuspicion> news = ledger.merge(aged);
        if (!news.isEmpty()) {
            log.atInfo().log("learned %s suspicions from the store", news.size());
            publisher.accept(news);
        }
    }

    /** Returns whether the copy says the same of a request; one that has completed need not be in it. */
    private static boolean isKnown(Known known, CrashSuspicion own) {
        CrashSuspicion stored = known.suspicions().get(own.fingerprint());
        return stored == null ? own.level() == 0 : stored.isSameAs(own);
    }

    private static Map<Fingerprint, CrashSuspicion> byFingerprint(List<CrashSuspicion> suspicions) {
        Map<Fingerprint, CrashSuspicion> result = new HashMap<>();
        suspicions.forEach(suspicion -> result.put(suspicion.fingerprint(), suspicion));
        return Map.copyOf(result);
    }
}
