package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.oleanderturn.model.NodeId;

/**
 * The requests under which targets have ended, as far as this node knows; a replica that nodes keep alike by exchanging
 * {@link CrashSuspicion}s.
 *
 * <p>A run that ends with its target raises the level of its request to one above the level at which the run began.
 * Copies that were in flight at the same time, as in a loss of power, therefore count once, or twice if several targets
 * ended, and each run that was sent in knowledge of the last loss counts again. A request under suspicion is tried: one
 * run at a time, whose level is raised before it begins, so that the run counts even if no node survives to report its
 * end. A completed run clears the request. From level 2 on the request is refused for a time, which grows with the level.
 *
 * <p>Invariants: at most {@value #MAXIMUM_ENTRIES} requests are kept, none longer than the lifetime of its level; when
 * they are too many, those of the lowest level and the greatest age are forgotten first. Thread safe; queries don't
 * block. The clock is monotonic, in milliseconds.
 */
public final class CrashLedger {
    static final int MAXIMUM_ENTRIES = 4_096;

    /** From this level on, parts of a fleet that don't reach each other must not each try a request. */
    public static final int AGREED_LEVEL = 3;

    /** How many nodes whose targets ended together are told apart from one. */
    private static final int MAXIMUM_NODES = 2;

    /** The most suspicions exchanged in one message. */
    private static final int MAXIMUM_EXCHANGED = 500;

    /** A request that completed, or under which a target ended once, is innocent as a rule. */
    private static final Duration SHORT_LIFETIME = Duration.ofMinutes(30);

    private static final Duration LONG_LIFETIME = Duration.ofHours(6);

    /** Longer than a target that shares the fate of many others takes to be back, and short for an innocent request. */
    private static final Duration FIRST_PAUSE = Duration.ofSeconds(2);

    private static final Duration SECOND_PAUSE = Duration.ofSeconds(10);

    /** The level from which on a request is refused as long as it is kept. */
    private static final int FINAL_LEVEL = 4;

    private final LongSupplier milliseconds;
    private final AtomicReference<Map<Fingerprint, Entry>> entries = new AtomicReference<>(Map.of());
    private volatile boolean hasSuspects;

    private CrashLedger(LongSupplier milliseconds) {
        this.milliseconds = milliseconds;
    }

    /** Returns an empty ledger. */
    public static CrashLedger of(LongSupplier milliseconds) {
        return new CrashLedger(Objects.requireNonNull(milliseconds, "milliseconds is null"));
    }

    /**
     * The suspicion with which a run began. Immutable and thread safe.
     *
     * @param isTrial whether the run raised the level when it began
     */
    public record Generation(int clearances, int revision, int level, boolean isTrial) {
        private static final int ANY_CLEARANCES = -1;

        /** Returns that of a run that begins while no request is under suspicion, whatever its fingerprint. */
        public static Generation unsuspected() {
            return new Generation(ANY_CLEARANCES, 0, 0, false);
        }

        private int clearancesOr(int present) {
            return clearances == ANY_CLEARANCES ? present : clearances;
        }
    }

    // -- queries

    /**
     * Returns whether any request is under suspicion; if not, every verdict is {@link CrashVerdict.Clear}. A request
     * whose lifetime is over counts until {@link #forgetExpired}.
     */
    public boolean hasSuspects() {
        return hasSuspects;
    }

    /** Returns whether a request may be sent to a target. */
    public CrashVerdict verdict(Fingerprint fingerprint) {
        long now = milliseconds.getAsLong();
        Entry entry = find(fingerprint, now);
        if (entry.level() == 0) {
            return new CrashVerdict.Clear();
        }
        long remaining = entry.changedMilliseconds() + pause(entry.level()).toMillis() - now;
        return remaining > 0
                ? new CrashVerdict.Quarantined(entry.level(), entry.isTrial(), Duration.ofMillis(remaining))
                : new CrashVerdict.Suspect(entry.level());
    }

    /** Returns the suspicion with which an ordinary run of a request begins now. */
    public Generation generation(Fingerprint fingerprint) {
        Entry entry = find(fingerprint, milliseconds.getAsLong());
        return new Generation(entry.clearances(), entry.revision(), entry.level(), false);
    }

    /** Returns what is known of a request; empty if it never was under suspicion. */
    public Optional<CrashSuspicion> suspicion(Fingerprint fingerprint) {
        long now = milliseconds.getAsLong();
        Entry entry = find(fingerprint, now);
        return entry.equals(Entry.NONE) ? Optional.empty() : Optional.of(entry.toSuspicion(fingerprint, now));
    }

    /** Returns what is known of all requests, those of the highest levels first; at most as many as fit a message. */
    public List<CrashSuspicion> suspicions() {
        long now = milliseconds.getAsLong();
        return entries.get().entrySet().stream()
                .filter(entry -> !entry.getValue().isExpired(now))
                .map(entry -> entry.getValue().toSuspicion(entry.getKey(), now))
                .sorted(Comparator.comparingInt(CrashSuspicion::level)
                        .reversed()
                        .thenComparingLong(CrashSuspicion::ageMilliseconds))
                .limit(MAXIMUM_EXCHANGED)
                .toList();
    }

    /** Returns a hash that is equal for ledgers that know the same, whatever the ages. */
    public long digest() {
        long now = milliseconds.getAsLong();
        long digest = 0;
        for (Map.Entry<Fingerprint, Entry> entry : entries.get().entrySet()) {
            digest += entry.getValue().isExpired(now) ? 0 : entry.getValue().hash(entry.getKey());
        }
        return digest;
    }

    // -- commands

    /**
     * Begins a trial of a request at a node's target if it is {@link CrashVerdict.Suspect}; empty if it is not, or
     * another run was quicker.
     */
    public synchronized Optional<Generation> beginTrial(Fingerprint fingerprint, NodeId node) {
        if (!(verdict(fingerprint) instanceof CrashVerdict.Suspect)) {
            return Optional.empty();
        }
        long now = milliseconds.getAsLong();
        Entry before = find(fingerprint, now);
        int level = before.level() + 1;
        put(fingerprint, new Entry(before.clearances(), before.revision(), level, List.of(node), true, now));
        return Optional.of(new Generation(before.clearances(), before.revision(), before.level(), true));
    }

    /** Takes the level of a trial back, as the run ended and says nothing of the request. */
    public synchronized void withdrawTrial(Fingerprint fingerprint, Generation trial) {
        long now = milliseconds.getAsLong();
        Entry current = find(fingerprint, now);
        boolean isCurrent = current.isTrial()
                && current.clearances() == trial.clearances()
                && current.revision() == trial.revision()
                && current.level() == trial.level() + 1;
        if (isCurrent) {
            long pauseStart = now - pause(trial.level()).toMillis();
            put(
                    fingerprint,
                    new Entry(trial.clearances(), trial.revision() + 1, trial.level(), List.of(), false, pauseStart));
        }
    }

    /**
     * Records that the target of a node ended under a run; without effect if the request has completed since the run
     * began.
     */
    public synchronized void recordCrash(Fingerprint fingerprint, Generation generation, NodeId node) {
        long now = milliseconds.getAsLong();
        Entry current = find(fingerprint, now);
        int clearances = generation.clearancesOr(current.clearances());
        if (current.clearances() > clearances) {
            return;
        }
        Entry crashed = new Entry(clearances, current.revision(), generation.level() + 1, List.of(node), false, now);
        Entry joined = current.join(crashed);
        if (!joined.isSameAs(current)) {
            put(fingerprint, joined);
        }
    }

    /** Records that a request completed and its target did not end; clears it. */
    public synchronized void recordCompletion(Fingerprint fingerprint) {
        long now = milliseconds.getAsLong();
        Entry current = find(fingerprint, now);
        if (current.level() > 0) {
            put(fingerprint, new Entry(current.clearances() + 1, 0, 0, List.of(), false, now));
        }
    }

    /** Merges what another node knows; returns what was news. */
    public synchronized List<CrashSuspicion> merge(List<CrashSuspicion> suspicions) {
        long now = milliseconds.getAsLong();
        List<CrashSuspicion> news = new ArrayList<>();
        for (CrashSuspicion suspicion : suspicions) {
            Entry received = Entry.of(suspicion, now);
            Entry current = find(suspicion.fingerprint(), now);
            Entry joined = current.join(received);
            if (!received.isExpired(now) && !joined.isSameAs(current)) {
                put(suspicion.fingerprint(), joined);
                news.add(suspicion);
            }
        }
        return news;
    }

    /** Forgets the requests whose lifetime is over; to be called every few seconds. */
    public synchronized void forgetExpired() {
        long now = milliseconds.getAsLong();
        Map<Fingerprint, Entry> next = new HashMap<>(entries.get());
        if (next.values().removeIf(known -> known.isExpired(now))) {
            set(next);
        }
    }

    // -- entries

    private Entry find(Fingerprint fingerprint, long now) {
        Objects.requireNonNull(fingerprint, "fingerprint is null");
        Entry entry = entries.get().get(fingerprint);
        return entry == null || entry.isExpired(now) ? Entry.NONE : entry;
    }

    private void put(Fingerprint fingerprint, Entry entry) {
        long now = milliseconds.getAsLong();
        Map<Fingerprint, Entry> next = new HashMap<>(entries.get());
        next.values().removeIf(known -> known.isExpired(now));
        next.put(fingerprint, entry);
        if (next.size() > MAXIMUM_ENTRIES) {
            forgetLeast(next);
        }
        set(next);
    }

    private void set(Map<Fingerprint, Entry> next) {
        entries.set(Map.copyOf(next));
        hasSuspects = next.values().stream().anyMatch(known -> known.level() > 0);
    }

    private static void forgetLeast(Map<Fingerprint, Entry> entries) {
        List<Map.Entry<Fingerprint, Entry>> sorted = new ArrayList<>(entries.entrySet());
        sorted.sort(Map.Entry.comparingByValue(
                Comparator.comparingInt(Entry::level).thenComparingLong(Entry::changedMilliseconds)));
        entries.remove(sorted.getFirst().getKey());
    }

    private static Duration pause(int level) {
        return switch (level) {
            case 0, 1 -> Duration.ZERO;
            case 2 -> FIRST_PAUSE;
            case FINAL_LEVEL - 1 -> SECOND_PAUSE;
            default -> LONG_LIFETIME;
        };
    }

    /** What is known of one request; the level changed at the given time of this node's clock. */
    private record Entry(
            int clearances,
            int revision,
            int baseLevel,
            List<NodeId> nodes,
            boolean isTrial,
            long changedMilliseconds) {
        private static final Entry NONE = new Entry(0, 0, 0, List.of(), false, 0);
        private static final int HASH_FACTOR = 31;
        private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

        private static Entry of(CrashSuspicion suspicion, long now) {
            return new Entry(
                    suspicion.clearances(),
                    suspicion.revision(),
                    suspicion.baseLevel(),
                    suspicion.nodes(),
                    suspicion.isTrial(),
                    now - suspicion.ageMilliseconds());
        }

        private int level() {
            return nodes.size() >= MAXIMUM_NODES ? baseLevel + 1 : baseLevel;
        }

        private CrashSuspicion toSuspicion(Fingerprint fingerprint, long now) {
            long age = Math.max(0, now - changedMilliseconds);
            return new CrashSuspicion(fingerprint, clearances, revision, baseLevel, nodes, isTrial, age);
        }

        private boolean isExpired(long now) {
            Duration lifetime = level() < FINAL_LEVEL - 1 ? SHORT_LIFETIME : LONG_LIFETIME;
            return now - changedMilliseconds >= lifetime.toMillis();
        }

        private boolean isSameAs(Entry other) {
            return compareTo(other) == 0 && nodes.equals(other.nodes) && isTrial == other.isTrial;
        }

        private int compareTo(Entry other) {
            return Comparator.comparingInt(Entry::clearances)
                    .thenComparingInt(Entry::revision)
                    .thenComparingInt(Entry::baseLevel)
                    .compare(this, other);
        }

        /** Joins what two nodes know; commutative, associative and idempotent but for the time of the change. */
        private Entry join(Entry other) {
            int order = compareTo(other);
            if (order != 0) {
                return order > 0 ? this : other;
            }
            List<NodeId> joined = Stream.concat(nodes.stream(), other.nodes.stream())
                    .distinct()
                    .sorted()
                    .limit(MAXIMUM_NODES)
                    .toList();
            long changed = Math.max(changedMilliseconds, other.changedMilliseconds);
            return new Entry(clearances, revision, baseLevel, joined, isTrial && other.isTrial, changed);
        }

        private long hash(Fingerprint fingerprint) {
            long hash = fingerprint.value().hashCode();
            hash = hash * HASH_FACTOR + clearances;
            hash = hash * HASH_FACTOR + revision;
            hash = hash * HASH_FACTOR + baseLevel;
            hash = hash * HASH_FACTOR + nodes.hashCode();
            return (hash * HASH_FACTOR + (isTrial ? 1 : 0)) * HASH_MULTIPLIER;
        }
    }
}
