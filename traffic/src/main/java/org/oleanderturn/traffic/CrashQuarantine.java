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
 * Detects requests that crash targets and quarantines them.
 *
 * <p>When the target crashes, every request in flight there becomes suspect. A suspect runs exclusively: if the
 * target survives, the request is cleared; if it crashes again, the request is quarantined. A quarantine is shared
 * with other nodes and lasts for a limited time, which doubles with each repetition; afterwards the request is still
 * suspect.
 *
 * <p>Invariants: only a request that ran exclusively is quarantined here; no quarantine lasts longer than the
 * maximum; the number of fingerprints kept and their lifetime are bounded. Thread safe. The clock is in milliseconds
 * since the epoch.
 */
public final class CrashQuarantine {
    private static final Duration SUSPECT_LIFETIME = Duration.ofMinutes(10);
    private static final Duration FIRST_QUARANTINE = Duration.ofMinutes(5);
    private static final Duration MAXIMUM_QUARANTINE = Duration.ofHours(1);
    private static final Duration RECORD_LIFETIME = Duration.ofHours(6);
    private static final int MAXIMUM_DOUBLINGS = 10;
    private static final long MAXIMUM_ENTRIES = 10_000;

    private final NodeId node;
    private final LongSupplier milliseconds;
    private final RandomGenerator random;
    private final Set<Run> inFlight = ConcurrentHashMap.newKeySet();
    private final Cache<Fingerprint, Boolean> suspects;
    private final Cache<Fingerprint, QuarantineRecord> records;

    private CrashQuarantine(NodeId node, LongSupplier milliseconds, RandomGenerator random) {
        this.node = node;
        this.milliseconds = milliseconds;
        this.random = random;
        this.suspects = cache(milliseconds, SUSPECT_LIFETIME);
        this.records = cache(milliseconds, RECORD_LIFETIME);
    }

    /** Returns an empty quarantine of the given node. */
    public static CrashQuarantine of(NodeId node, LongSupplier milliseconds, RandomGenerator random) {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(milliseconds, "milliseconds is null");
        Objects.requireNonNull(random, "random is null");
        return new CrashQuarantine(node, milliseconds, random);
    }

    // -- queries

    /** Returns whether a request is clear, suspect or quarantined. */
    public QuarantineStatus status(Fingerprint fingerprint) {
        Objects.requireNonNull(fingerprint, "fingerprint is null");
        QuarantineRecord record = records.getIfPresent(fingerprint);
        if (record != null) {
            long remaining = record.expiresMilliseconds() - milliseconds.getAsLong();
            if (remaining <= 0) {
                return new QuarantineStatus.Suspect();
            }
            Duration retryAfter = RetryAfter.jittered(random, Duration.ofMillis(remaining));
            return new QuarantineStatus.Quarantined(record, retryAfter);
        }
        return suspects.getIfPresent(fingerprint) == null
                ? new QuarantineStatus.Clear()
                : new QuarantineStatus.Suspect();
    }

    /** Returns the records of the requests that are quarantined now, to be shared with other nodes. */
    public List<QuarantineRecord> records() {
        long now = milliseconds.getAsLong();
        return records.asMap().values().stream()
                .filter(record -> record.expiresMilliseconds() > now)
                .toList();
    }

    /** Returns the number of requests that run on the local target. */
    public int inFlight() {
        return inFlight.size();
    }

    // -- commands

    /** Records that a request starts to run on the local target. */
    public Run begin(Fingerprint fingerprint, boolean isExclusive) {
        Run run = new Run(fingerprint, isExclusive);
        inFlight.add(run);
        return run;
    }

    /** Records that a request ended and the target survived; clears the request if it ran exclusively. */
    public void complete(Run run) {
        Objects.requireNonNull(run, "run is null");
        boolean wasInFlight = inFlight.remove(run);
        if (wasInFlight && run.isExclusive()) {
            clear(run.fingerprint());
        }
    }

    /** Records that a request ended without evidence about the target, as its caller cancelled it. */
    public void abandon(Run run) {
        Objects.requireNonNull(run, "run is null");
        inFlight.remove(run);
    }

    /**
     * Records that the local target crashed. Returns the new quarantine record if the only request in flight ran
     * exclusively; otherwise marks all in flight as suspect and returns empty.
     */
    public Optional<QuarantineRecord> targetCrashed() {
        List<Run> crashed = new ArrayList<>(inFlight);
        crashed.forEach(inFlight::remove);
        if (crashed.size() == 1 && crashed.getFirst().isExclusive()) {
            return Optional.of(quarantine(crashed.getFirst().fingerprint()));
        }
        crashed.forEach(run -> markSuspect(run.fingerprint()));
        return Optional.empty();
    }

    /** Marks a request as suspect: a target crashed while running it, or it arrived marked as suspect. */
    public void markSuspect(Fingerprint fingerprint) {
        suspects.put(fingerprint, Boolean.TRUE);
    }

    /** Clears a request that ran without crashing the target; a quarantine that has not expired stays in force. */
    public void clear(Fingerprint fingerprint) {
        suspects.invalidate(fingerprint);
        QuarantineRecord record = records.getIfPresent(fingerprint);
        if (record != null && record.expiresMilliseconds() <= milliseconds.getAsLong()) {
            records.invalidate(fingerprint);
        }
    }

    /**
     * Merges the quarantine record of another node, limited to the maximum duration; the record that expires later
     * wins.
     */
    public void merge(QuarantineRecord record) {
        Objects.requireNonNull(record, "record is null");
        long latestExpiry = milliseconds.getAsLong() + MAXIMUM_QUARANTINE.toMillis();
        long expiry = Math.min(latestExpiry, record.expiresMilliseconds());
        QuarantineRecord bounded =
                new QuarantineRecord(record.fingerprint(), record.convictedBy(), expiry, record.times());
        records.asMap().merge(record.fingerprint(), bounded, CrashQuarantine::laterOf);
    }

    private QuarantineRecord quarantine(Fingerprint fingerprint) {
        QuarantineRecord previous = records.getIfPresent(fingerprint);
        int times = previous == null ? 1 : previous.times() + 1;
        long duration = FIRST_QUARANTINE.toMillis() << Math.min(MAXIMUM_DOUBLINGS, times - 1);
        long bounded = Math.min(MAXIMUM_QUARANTINE.toMillis(), duration);
        QuarantineRecord record = new QuarantineRecord(fingerprint, node, milliseconds.getAsLong() + bounded, times);
        merge(record);
        return record;
    }

    private static QuarantineRecord laterOf(QuarantineRecord known, QuarantineRecord other) {
        return other.expiresMilliseconds() > known.expiresMilliseconds() ? other : known;
    }

    private static <T> Cache<Fingerprint, T> cache(LongSupplier milliseconds, Duration lifetime) {
        return Caffeine.newBuilder()
                .maximumSize(MAXIMUM_ENTRIES)
                .expireAfterWrite(lifetime)
                .ticker(() -> TimeUnit.MILLISECONDS.toNanos(milliseconds.getAsLong()))
                .executor(Runnable::run)
                .build();
    }

    /** A request that runs on the local target. Compared by identity: equal requests in flight are two runs. */
    public static final class Run {
        private final Fingerprint fingerprint;
        private final boolean isExclusive;

        private Run(Fingerprint fingerprint, boolean isExclusive) {
            this.fingerprint = fingerprint;
            this.isExclusive = isExclusive;
        }

        /** Returns the fingerprint of the request. */
        public Fingerprint fingerprint() {
            return fingerprint;
        }

        /** Returns whether no other request runs beside it. */
        public boolean isExclusive() {
            return isExclusive;
        }
    }
}
