package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
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

    /** From this demand on, for the validity of a batch, tokens are taken in advance; below it many of them would expire. */
    private static final double LEAST_ADVANCE_TOKENS = 2;

    /**
     * From this demand on, for the validity of a batch, a request that waits takes a further token: it is used in two of five
     * cases, and the limits are 1.6 times the usual rates.
     */
    private static final double LEAST_FURTHER_TOKENS = 0.5;

    /** For so long an entry refuses by a holder's word at first, so that an organisation over its limit costs few messages. */
    private static final long SHORTAGE_NANOSECONDS = 300_000_000L;

    /**
     * For so long an entry refuses at most when its first request after each refusal is refused again; it ends before when other
     * exchanges bring tokens. With 2 s the busiest holder sends up to 22.9 KB/s while the largest organisation sends ten times
     * its rate, with 4 s up to 20.6; the bound is 21.
     */
    private static final long LONGEST_SHORTAGE_NANOSECONDS = 4_000_000_000L;

    /** For so long an entry asks for no tokens in advance when the holder had too few. */
    private static final long ADVANCE_PAUSE_NANOSECONDS = 300_000_000L;

    /** The longest time for which an entry waits for a holder. */
    private static final long ANSWER_NANOSECONDS = 60_000_000L;

    /** Weight of the last second in the estimate of the demand. */
    private static final double DEMAND_WEIGHT_PER_SECOND = 0.7;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private record Batch(int tokens, long untilNanoseconds) {}

    /** The tokens and the demand of one organisation. */
    private static final class Account {
        private final AtomicReference<List<Batch>> batches = new AtomicReference<>(List.of());
        private final LongAdder tries = new LongAdder();
        private volatile double triesPerSecond;
        private volatile long advanceFromNanoseconds = Long.MIN_VALUE;
        private volatile Backoff refusals = Backoff.of(SHORTAGE_NANOSECONDS, LONGEST_SHORTAGE_NANOSECONDS);
        private volatile long expectedNanoseconds = Long.MIN_VALUE;
        private volatile long askedUntilNanoseconds = Long.MIN_VALUE;
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
        Account account = account(organisation);
        Backoff refusals = account.refusals;
        return refusals.isWaiting(now)
                ? Optional.of(Duration.ofNanos(
                        Math.max(1, Math.max(refusals.untilNanoseconds(), account.expectedNanoseconds) - now)))
                : Optional.empty();
    }

    /**
     * Returns the tokens to ask for in batches: in advance for organisations with steady demand, and for the needed one.
     *
     * @param needed the organisation that a request waits for; it is left out when one token is enough
     * @param members the nodes that share the limits
     */
    Map<OrganisationName, Integer> wanted(
            Map<OrganisationName, RequestLimit> limits, Optional<OrganisationName> needed, int members) {
        long now = nanoseconds.getAsLong();
        Map<OrganisationName, Integer> wanted = new HashMap<>();
        accounts.forEach((organisation, account) -> {
            RequestLimit limit = limits.get(organisation);
            if (limit == null || now < account.askedUntilNanoseconds) {
                return;
            }
            boolean isNeeded = needed.filter(organisation::equals).isPresent();
            int missing = isNeeded ? wantedNow(account, limit, members) : inAdvance(account, limit) - atHand(account);
            if (isNeeded ? missing > 1 : missing > 0 && now >= account.advanceFromNanoseconds) {
                wanted.put(organisation, missing);
            }
        });
        return wanted;
    }

    /**
     * Returns the tokens to ask for when a request waits for one: that one, and those for the next requests. Two requests that
     * happen to come together raise the estimate of a small organisation, whose few tokens would then expire.
     */
    private int wantedNow(Account account, RequestLimit limit, int members) {
        double ofLimit = limit.requestsPerSecond() / members * terms.batchNanoseconds(limit) / NANOSECONDS_PER_SECOND;
        int advance = advance(account, limit);
        boolean isNextLikely = Math.min(expected(account, limit), ofLimit) >= LEAST_FURTHER_TOKENS;
        return 1 + (isNextLikely ? Math.max(1, advance) : advance);
    }

    /** Of an organisation that is refused, at least one token is asked for, to find out whether there are some again. */
    private int inAdvance(Account account, RequestLimit limit) {
        int advance = advance(account, limit);
        return account.refusals.isWaiting(nanoseconds.getAsLong()) ? Math.max(1, advance) : advance;
    }

    /** Returns whether an organisation with steady demand soon has no tokens at hand. */
    boolean isLow(Map<OrganisationName, RequestLimit> limits) {
        return accounts.entrySet().stream().anyMatch(entry -> {
            RequestLimit limit = limits.get(entry.getKey());
            int advance = limit == null ? 0 : advance(entry.getValue(), limit);
            return advance > 0
                    && atHand(entry.getValue()) < advance * LOW_SHARE
                    && nanoseconds.getAsLong() >= entry.getValue().advanceFromNanoseconds
                    && !entry.getValue().refusals.isWaiting(nanoseconds.getAsLong());
        });
    }

    private int advance(Account account, RequestLimit limit) {
        double tokens = expected(account, limit);
        return tokens < LEAST_ADVANCE_TOKENS ? 0 : (int) Math.ceil(tokens * ADVANCE_SHARE);
    }

    /** Returns the requests that are expected while a batch is valid. */
    private double expected(Account account, RequestLimit limit) {
        return account.triesPerSecond * terms.batchNanoseconds(limit) / NANOSECONDS_PER_SECOND;
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

    /** Remembers that batches were asked for, so that requests which wait meanwhile don't ask for the same ones again. */
    void recordAsked(Set<OrganisationName> organisations) {
        long until = nanoseconds.getAsLong() + ANSWER_NANOSECONDS;
        organisations.forEach(organisation -> account(organisation).askedUntilNanoseconds = until);
    }

    /** Remembers that batches that were asked for have been answered. */
    void recordAnswered(Set<OrganisationName> organisations) {
        long now = nanoseconds.getAsLong();
        organisations.forEach(organisation -> account(organisation).askedUntilNanoseconds = now);
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
            account.expectedNanoseconds = now + expected.toNanos();
            account.refusals = account.refusals.after(now);
        }
    }

    /** Remembers that a holder had all tokens that were asked for, so that requests which find none may ask again. */
    void recordPlenty(OrganisationName organisation) {
        Account account = account(organisation);
        account.refusals = account.refusals.endedAt(nanoseconds.getAsLong());
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
