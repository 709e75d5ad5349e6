package org.oleanderturn.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.RequestLimit;

/**
 * The tokens that a holder generates by its own right and by those that other nodes have delegated to it.
 *
 * <p>Invariants: a right counts until a fixed time after the stamp that it names, by this holder's clock; balance and issued
 * tokens that may still be used never exceed the stock's share of the rights in force; an emptied pool begins without rights
 * and tokens. Thread safe.
 */
final class TokenPool {
    /** How long a right is valid at the holder, from the holder's stamp that it names. */
    static final long RIGHT_MILLISECONDS = 2_000;

    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
    private static final int LONGEST_WAIT_MILLISECONDS = 2_000;

    private record Held(long untilMilliseconds, int members) {}

    private record Issue(long untilNanoseconds, int tokens) {}

    /** The tokens of one organisation. */
    private static final class Balance {
        private RequestLimit limit;
        private double tokens;
        private double settledShareSeconds;
        private int issued;
        private final Deque<Issue> issues = new ArrayDeque<>();
        private final Deque<Issue> singles = new ArrayDeque<>();

        Balance(RequestLimit limit, double settledShareSeconds) {
            this.limit = limit;
            this.settledShareSeconds = settledShareSeconds;
        }
    }

    private final RequestLimitTerms terms;
    private final IntSupplier members;
    private final LongSupplier nanoseconds;
    private final Map<NodeId, Held> rights = new HashMap<>();
    private final Map<OrganisationName, Balance> balances = new HashMap<>();
    private int epoch;
    private long advancedMilliseconds;

    /** The integral of the share of the rights over time, in seconds: what a limit of one request per second has generated. */
    private double shareSeconds;

    private double emptiedShareSeconds;

    TokenPool(RequestLimitTerms terms, IntSupplier members, int epoch, LongSupplier nanoseconds) {
        this.terms = terms;
        this.members = members;
        this.nanoseconds = nanoseconds;
        this.epoch = epoch;
        this.advancedMilliseconds = milliseconds();
    }

    // -- queries

    synchronized int epoch() {
        return epoch;
    }

    /** Returns the current stamp, which a right must name. */
    long stamp() {
        return milliseconds();
    }

    /** Returns the share of each limit that this pool generates now. */
    synchronized double share() {
        advance();
        return currentShare();
    }

    // -- commands

    /** Adds a right or extends it; one that names another epoch, or a stamp that lies too far back, changes nothing. */
    synchronized void accept(NodeId node, TokenRequest.Right right) {
        advance();
        long until = right.stamp() + RIGHT_MILLISECONDS;
        if (right.epoch() != epoch || right.stamp() > milliseconds() || until <= milliseconds()) {
            return;
        }
        Held known = rights.get(node);
        // A message that was overtaken must not shorten the right, nor lower the number of members that it is divided
        // by.
        int divisor = known == null ? right.members() : Math.max(right.members(), lowerBound(known, until));
        rights.put(node, new Held(known == null ? until : Math.max(until, known.untilMilliseconds()), divisor));
    }

    private static int lowerBound(Held known, long until) {
        return until < known.untilMilliseconds() ? known.members() : 0;
    }

    /** Drops all rights and tokens. */
    synchronized void clear(int nextEpoch) {
        advance();
        epoch = nextEpoch;
        rights.clear();
        balances.clear();
        emptiedShareSeconds = shareSeconds;
    }

    /**
     * Takes up to the wanted number of tokens.
     *
     * @param isSingle whether one is taken for a request that waits, which is valid for a shorter time
     */
    synchronized int take(OrganisationName organisation, RequestLimit limit, int wanted, boolean isSingle) {
        Balance balance = settle(organisation, limit);
        int taken = (int) Math.min(wanted, Math.floor(balance.tokens));
        if (taken <= 0) {
            return 0;
        }
        balance.tokens -= taken;
        balance.issued += taken;
        long valid = terms.validNanoseconds(limit, isSingle);
        (isSingle ? balance.singles : balance.issues).add(new Issue(nanoseconds.getAsLong() + valid, taken));
        return taken;
    }

    /** Returns after how many milliseconds a token is expected. */
    synchronized int waitMilliseconds(OrganisationName organisation, RequestLimit limit) {
        double tokens = settle(organisation, limit).tokens;
        double rate = limit.requestsPerSecond() * currentShare();
        double milliseconds = rate <= 0 ? LONGEST_WAIT_MILLISECONDS : (1 - tokens) / rate * MILLISECONDS_PER_SECOND;
        return (int) Math.clamp(milliseconds, 1, LONGEST_WAIT_MILLISECONDS);
    }

    // -- generation

    private Balance settle(OrganisationName organisation, RequestLimit limit) {
        advance();
        Balance balance = balances.computeIfAbsent(organisation, _ -> new Balance(limit, emptiedShareSeconds));
        balance.issued -= expired(balance.issues) + expired(balance.singles);
        // What was generated before a change of the limit counts at the lower of the two rates.
        double rate = Math.min(balance.limit.requestsPerSecond(), limit.requestsPerSecond());
        double generated = rate * (shareSeconds - balance.settledShareSeconds);
        double room = terms.stock(limit) * currentShare() - balance.issued;
        balance.tokens = Math.max(0, Math.min(balance.tokens + generated, room));
        balance.settledShareSeconds = shareSeconds;
        balance.limit = limit;
        return balance;
    }

    /** Removes the issues that have expired from a queue in the order of their ends; returns their tokens. */
    private int expired(Deque<Issue> issues) {
        long now = nanoseconds.getAsLong();
        int tokens = 0;
        while (!issues.isEmpty() && issues.peek().untilNanoseconds() <= now) {
            tokens += issues.poll().tokens();
        }
        return tokens;
    }

    private void advance() {
        long now = milliseconds();
        long since = advancedMilliseconds;
        for (Held right : rights.values()) {
            long held = Math.min(now, right.untilMilliseconds()) - since;
            if (held > 0) {
                shareSeconds += held / MILLISECONDS_PER_SECOND / divisor(right);
            }
        }
        rights.values().removeIf(right -> right.untilMilliseconds() <= now);
        advancedMilliseconds = Math.max(since, now);
    }

    private double currentShare() {
        double share = 0;
        for (Held right : rights.values()) {
            share += 1.0 / divisor(right);
        }
        return share;
    }

    /** Counts a right by the larger of the two numbers of members, as the node that knows more of them is right. */
    private int divisor(Held right) {
        return Math.max(1, Math.max(right.members(), members.getAsInt()));
    }

    private long milliseconds() {
        return nanoseconds.getAsLong() / NANOSECONDS_PER_MILLISECOND;
    }
}
