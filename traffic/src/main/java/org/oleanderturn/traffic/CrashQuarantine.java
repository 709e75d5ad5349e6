package org.oleanderturn.traffic;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.NodeId;

/**
 * Finds the requests that crash targets and keeps them from doing so again.
 *
 * <p>When a target dies, what was in flight there becomes suspect. A suspect runs alone: when it ends otherwise it is
 * acquitted, and when the target dies under it it is convicted. A conviction spreads, ends after a stated time that
 * doubles with each further one, and leaves the request suspect.
 *
 * <p>Invariants: only a request that ran alone is convicted; a conviction never outlasts the longest one; what is held is
 * bounded in number and time. Thread safe. The clock gives milliseconds since the epoch.
 */
public final class CrashQuarantine {
    private static final Duration SUSPECT_LIFETIME = Duration.ofMinutes(10);
    private static final Duration FIRST_QUARANTINE = Duration.ofMinutes(5);
    private static final Duration MAXIMUM_QUARANTINE = Duration.ofHours(1);
    private static final Duration RECORD_LIFETIME = Duration.ofHours(6);
    private static final int MAXIMUM_DOUBLINGS = 10;
    private static final long MAXIMUM_ENTRIES = 10_000;

    private final NodeId own;
    private final LongSupplier milliseconds;
    private final RandomGenerator random;
    private final Set<Run> inFlight = ConcurrentHashMap.newKeySet();
    private final Cache<Fingerprint, Boolean> suspects;
    private final Cache<Fingerprint, QuarantineRecord> records;

    private CrashQuarantine(NodeId own, LongSupplier milliseconds, RandomGenerator random) {
        this.own = own;
        this.milliseconds = milliseconds;
        this.random = random;
        this.suspects = cache(milliseconds, SUSPECT_LIFETIME);
        this.records = cache(milliseconds, RECORD_LIFETIME);
    }

    /** Returns a quarantine that holds nothing. */
    public static CrashQuarantine of(NodeId own, LongSupplier milliseconds, RandomGenerator random) {
        Objects.requireNonNull(own, "own is null");
        Objects.requireNonNull(milliseconds, "milliseconds is null");
        Objects.requireNonNull(random, "random is null");
        return new CrashQuarantine(own, milliseconds, random);
    }

    // -- queries

    /** Returns how a request stands. */
    public QuarantineStatus status(Fingerprint fingerprint) {
        Objects.requireNonNull(fingerprint, "fingerprint is null");
        QuarantineRecord conviction = records.getIfPresent(fingerprint);
        if (conviction != null) {
            long left = conviction.expiresMilliseconds() - milliseconds.getAsLong();
            if (left <= 0) {
                return new QuarantineStatus.Suspect();
            }
            Duration retryAfter = RetryAfter.jittered(random, Duration.ofMillis(left));
            return new QuarantineStatus.Quarantined(conviction, retryAfter);
        }
        return suspects.getIfPresent(fingerprint) == null
                ? new QuarantineStatus.Clear()
                : new QuarantineStatus.Suspect();
    }

    /** Returns the convictions in force, for other nodes to learn. */
    public List<QuarantineRecord> records() {
        long now = milliseconds.getAsLong();
        return records.asMap().values().stream()
                .filter(conviction -> conviction.expiresMilliseconds() > now)
                .toList();
    }

    /** Returns how many requests run on the local target. */
    public int inFlight() {
        return inFlight.size();
    }

    // -- commands

    /** Notes that a request starts to run on the local target. */
    public Run begin(Fingerprint fingerprint, boolean isAlone) {
        Run run = new Run(fingerprint, isAlone);
        inFlight.add(run);
        return run;
    }

    /** Notes that a request has ended while the target lived; one that ran alone is acquitted. */
    public void complete(Run run) {
        Objects.requireNonNull(run, "run is null");
        boolean wasInFlight = inFlight.remove(run);
        if (wasInFlight && run.isExclusive()) {
            clear(run.fingerprint());
        }
    }

    /** Notes that a request has ended without telling anything of the target: its caller gave up. */
    public void abandon(Run run) {
        Objects.requireNonNull(run, "run is null");
        inFlight.remove(run);
    }

    /** Notes that the local target died; returns the conviction when one request ran there alone. */
    public Optional<QuarantineRecord> targetCrashed() {
        List<Run> victims = new ArrayList<>(inFlight);
        victims.forEach(inFlight::remove);
        if (victims.size() == 1 && victims.getFirst().isExclusive()) {
            return Optional.of(quarantine(victims.getFirst().fingerprint()));
        }
        victims.forEach(run -> markSuspect(run.fingerprint()));
        return Optional.empty();
    }

    /** Holds a request suspect: the entry saw a target die under it, or the request says so of itself. */
    public void markSuspect(Fingerprint fingerprint) {
        suspects.put(fingerprint, Boolean.TRUE);
    }

    /** Holds nothing against a request any more: it ran to its end. */
    public void clear(Fingerprint fingerprint) {
        suspects.invalidate(fingerprint);
        QuarantineRecord conviction = records.getIfPresent(fingerprint);
        if (conviction != null && conviction.expiresMilliseconds() <= milliseconds.getAsLong()) {
            records.invalidate(fingerprint);
        }
    }

    /** Takes over another node's conviction; the later of two stands. */
    public void merge(QuarantineRecord conviction) {
        Objects.requireNonNull(conviction, "conviction is null");
        long latest = milliseconds.getAsLong() + MAXIMUM_QUARANTINE.toMillis();
        long expires = Math.min(latest, conviction.expiresMilliseconds());
        QuarantineRecord bounded =
                new QuarantineRecord(conviction.fingerprint(), conviction.convictedBy(), expires, conviction.times());
        records.asMap().merge(conviction.fingerprint(), bounded, CrashQuarantine::laterOf);
    }

    private QuarantineRecord quarantine(Fingerprint fingerprint) {
        QuarantineRecord former = records.getIfPresent(fingerprint);
        int times = former == null ? 1 : former.times() + 1;
        long length = FIRST_QUARANTINE.toMillis() << Math.min(MAXIMUM_DOUBLINGS, times - 1);
        long bounded = Math.min(MAXIMUM_QUARANTINE.toMillis(), length);
        QuarantineRecord conviction = new QuarantineRecord(fingerprint, own, milliseconds.getAsLong() + bounded, times);
        merge(conviction);
        return conviction;
    }

    private static QuarantineRecord laterOf(QuarantineRecord held, QuarantineRecord learnt) {
        return learnt.expiresMilliseconds() > held.expiresMilliseconds() ? learnt : held;
    }

    private static <T> Cache<Fingerprint, T> cache(LongSupplier milliseconds, Duration kept) {
        return Caffeine.newBuilder()
                .maximumSize(MAXIMUM_ENTRIES)
                .expireAfterWrite(kept)
                .ticker(() -> TimeUnit.MILLISECONDS.toNanos(milliseconds.getAsLong()))
                .executor(Runnable::run)
                .build();
    }

    /** One request on the local target. Identity matters: equal requests in flight together are two runs. */
    public static final class Run {
        private final Fingerprint fingerprint;
        private final boolean isExclusive;

        private Run(Fingerprint fingerprint, boolean isAlone) {
            this.fingerprint = fingerprint;
            this.isExclusive = isAlone;
        }

        /** Returns what request it is. */
        public Fingerprint fingerprint() {
            return fingerprint;
        }

        /** Returns whether nothing else runs beside it. */
        public boolean isExclusive() {
            return isExclusive;
        }
    }
}
