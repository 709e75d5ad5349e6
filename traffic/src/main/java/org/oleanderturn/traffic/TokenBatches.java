package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.RequestLimit;

/**
 * The tokens that an entry has at hand, in batches that expire, and the demand by which it asks for more.
 *
 * <p>Invariant: a token is taken at most once, and never after its batch has expired. Thread safe; taking a token never blocks.
 */
final class TokenBatches {
    /** The part of a batch's validity for which tokens are taken in advance; the rest of it allows for uneven demand. */
    private static final double ADVANCE_SHARE = 0.8;

    /** Below this part of the wanted tokens an entry asks for more before a request has to wait. */
    private static final double LOW_SHARE = 0.2;

    /** Demand below one token for the validity of a batch is served when it comes; in advance most tokens would expire. */
    private static final double LEAST_ADVANCE_TOKENS = 1;

    /** For so long an entry refuses by a holder's word, so that an organisation over its limit costs few messages. */
    private static final long SHORTAGE_NANOSECONDS = 300_000_000L;

    /** For so long an entry asks for no tokens in advance when the holder had too few. */
    private static final long ADVANCE_PAUSE_NANOSECONDS = 300_000_000L;

    /** Weight of the last second in the estimate of the demand. */
    private static final double DEMAND_WEIGHT_PER_SECOND = 0.7;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private record Batch(int tokens, long untilNanoseconds) {}

    /** Until when an organisation is known to have no tokens. */
    private record Shortage(long untilNanoseconds, long expectedNanoseconds) {}

    /** The tokens and the demand of one organisation. */
    private static final class Account {
        private final AtomicReference<List<Batch>> batches = new AtomicReference<>(List.of());
        private final LongAdder tries = new LongAdder();
        private volatile double triesPerSecond;
        private volatile long advanceFromNanoseconds = Long.MIN_VALUE;
        private volatile Shortage shortage = new Shortage(Long.MIN_VALUE, Long.MIN_VALUE);
    }

    private final RequestLimitTerms terms;
    private final LongSupplier nanoseconds;
    private final ConcurrentHashMap<OrganisationName, Account> accounts = new ConcurrentHashMap<>();

    TokenBatches(RequestLimitTerms terms, LongSupplier nanoseconds) {
        this.terms = terms;
        this.nanoseconds = nanoseconds;
    }

    // -- queries

    /** Returns the tokens of an organisation that are at hand. */
    int available(OrganisationName organisation) {
        Account account = accounts.get(organisation);
        return account == null ? 0 : atHand(account);
    }

    /** Returns after what time a token is expected; empty when it is not known that there are none. */
    Optional<Duration> shortage(OrganisationName organisation) {
        long now = nanoseconds.getAsLong();
        Shortage shortage = account(organisation).shortage;
        return shortage.untilNanoseconds() > now
                ? Optional.of(Duration.ofNanos(Math.max(1, shortage.expectedNanoseconds() - now)))
                : Optional.empty();
    }

    /** Returns the tokens to ask for in advance, for organisations with steady demand. */
    Map<OrganisationName, Integer> wanted(Map<OrganisationName, RequestLimit> limits) {
        Map<OrganisationName, Integer> wanted = new HashMap<>();
        accounts.forEach((organisation, account) -> {
            RequestLimit limit = limits.get(organisation);
            int missing = limit == null ? 0 : advance(account, limit) - atHand(account);
            if (missing > 0 && nanoseconds.getAsLong() >= account.advanceFromNanoseconds) {
                wanted.put(organisation, missing);
            }
        });
        return wanted;
    }

    /** Returns whether an organisation with steady demand soon has no tokens at hand. */
    boolean isLow(Map<OrganisationName, RequestLimit> limits) {
        return accounts.entrySet().stream().anyMatch(entry -> {
            RequestLimit limit = limits.get(entry.getKey());
            int advance = limit == null ? 0 : advance(entry.getValue(), limit);
            return advance > 0
                    && atHand(entry.getValue()) < advance * LOW_SHARE
                    && nanoseconds.getAsLong() >= entry.getValue().advanceFromNanoseconds;
        });
    }

    private int advance(Account account, RequestLimit limit) {
        double tokens = account.triesPerSecond * terms.batchNanoseconds(limit) / NANOSECONDS_PER_SECOND;
        return tokens < LEAST_ADVANCE_TOKENS ? 0 : (int) Math.ceil(tokens * ADVANCE_SHARE);
    }

    private int atHand(Account account) {
        long now = nanoseconds.getAsLong();
        return account.batches.get().stream()
                .filter(batch -> batch.untilNanoseconds() > now)
                .mapToInt(Batch::tokens)
                .sum();
    }

    // -- commands

    /** Counts a request that asks for a token. */
    void recordTry(OrganisationName organisation) {
        account(organisation).tries.increment();
    }

    /** Takes a token; returns when it expires, or empty when there is none at hand. */
    OptionalLong take(OrganisationName organisation) {
        AtomicReference<List<Batch>> batches = account(organisation).batches;
        while (true) {
            List<Batch> known = batches.get();
            long now = nanoseconds.getAsLong();
            List<Batch> usable = known.stream()
                    .filter(batch -> batch.untilNanoseconds() > now)
                    .toList();
            if (usable.isEmpty()) {
                return OptionalLong.empty();
            }
            Batch first = usable.getFirst();
            List<Batch> rest = new ArrayList<>(usable.subList(1, usable.size()));
            if (first.tokens() > 1) {
                rest.addFirst(new Batch(first.tokens() - 1, first.untilNanoseconds()));
            }
            if (batches.compareAndSet(known, List.copyOf(rest))) {
                return OptionalLong.of(first.untilNanoseconds());
            }
        }
    }

    /** Adds tokens that expire at the given time. */
    void add(OrganisationName organisation, int tokens, long untilNanoseconds) {
        Account account = account(organisation);
        account.batches.updateAndGet(known -> {
            List<Batch> changed = new ArrayList<>(known);
            changed.removeIf(batch -> batch.untilNanoseconds() <= nanoseconds.getAsLong());
            changed.add(new Batch(tokens, untilNanoseconds));
            changed.sort((first, second) -> Long.compare(first.untilNanoseconds(), second.untilNanoseconds()));
            return List.copyOf(changed);
        });
    }

    /**
     * Remembers that a holder had too few tokens for an organisation, and when one is expected.
     *
     * @param isCertain whether the holder tried to borrow, so that further requests need not ask
     */
    void recordScarcity(OrganisationName organisation, Duration expected, boolean isCertain) {
        Account account = account(organisation);
        long now = nanoseconds.getAsLong();
        account.advanceFromNanoseconds = now + ADVANCE_PAUSE_NANOSECONDS;
        if (isCertain) {
            long until = now + SHORTAGE_NANOSECONDS;
            account.shortage = new Shortage(until, Math.max(until, now + expected.toNanos()));
        }
    }

    /** Drops all tokens. */
    void clear() {
        accounts.values().forEach(account -> account.batches.set(List.of()));
    }

    /** Updates the estimates of the demand; to be called by one thread, with the time since the last call. */
    void estimateDemand(double seconds) {
        double weight = Math.min(1, DEMAND_WEIGHT_PER_SECOND * seconds);
        accounts.values().forEach(account -> {
            double current = account.tries.sumThenReset() / seconds;
            double earlier = account.triesPerSecond;
            account.triesPerSecond = earlier + weight * (current - earlier);
        });
    }

    /** Forgets organisations that are no longer declared. */
    void retain(Map<OrganisationName, RequestLimit> limits) {
        accounts.keySet().retainAll(limits.keySet());
    }

    private Account account(OrganisationName organisation) {
        return accounts.computeIfAbsent(organisation, _ -> new Account());
    }
}
