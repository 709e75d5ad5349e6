package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.RequestLimit;

/**
 * What one node does to keep the limits of organisations together with all others: as an entry that takes tokens, as a node
 * that gives its right to a holder, and as a holder that pools rights and answers requests for tokens.
 *
 * <p>Invariants: a token is used only until a fixed time after the request that it answers was sent, by the entry's clock;
 * after a suspension or a step of a clock nothing from before it is used. Thread safe, except where stated.
 */
public final class RequestLimitCoordinator {
    /** How often a right is extended at least: a lost message or two leave it in force. */
    private static final long RIGHT_INTERVAL_NANOSECONDS = 700_000_000L;

    /**
     * How many holders a holder that runs short asks, those of its region first: ten exchanges within a region take 13 ms. In
     * large fleets six often have less than one token of a small limit; with 16, 1,100 nodes send a tenth more than 89.
     */
    private static final int LENDERS = 10;

    /** How many holders an entry asks for a request, when the first does not answer. */
    private static final int ASKED_HOLDERS = 2;

    /** For so long a holder does not borrow for an organisation again after nobody lent for the first time. */
    private static final long BORROWING_PAUSE_NANOSECONDS = 150_000_000L;

    /** For so long a holder does not borrow for an organisation for which nobody has lent several times in turn. */
    private static final long LONGEST_BORROWING_PAUSE_NANOSECONDS = 1_200_000_000L;

    private static final Backoff FIRST_PAUSE =
            Backoff.of(BORROWING_PAUSE_NANOSECONDS, LONGEST_BORROWING_PAUSE_NANOSECONDS);

    /** How much later than expected refused clients return at most, as a part of the expected time. */
    private static final double RETRY_SPREAD = 1;

    /** Further time over which refused clients are spread when a token is expected soon. */
    private static final long RETRY_JITTER_MILLISECONDS = 100;

    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** How often a node without a right in force asks its holder for a stamp. */
    private static final long STAMP_INTERVAL_NANOSECONDS = 200_000_000L;

    /** For so long a holder that did not answer is asked after another one, so that requests do not wait for it in turn. */
    private static final long SILENCE_NANOSECONDS = 400_000_000L;

    /** A holder that did not answer, and until when others are asked first. */
    private record Silence(NodeId holder, long untilNanoseconds) {}

    /** A holder that grants at most this part of what was wanted has next to nothing left. */
    private static final double EMPTY_SHARE = 0.34;

    private final NodeId self;
    private final RequestLimitTerms terms;
    private final LongSupplier nanoseconds;
    private final RandomGenerator random;
    private final ClockAgreement clocks;
    private final LimitMembership membership;
    private final TokenPool pool;
    private final TokenDelegation delegation;
    private final TokenBatches batches;
    private final Map<OrganisationName, Backoff> borrowingPauses = new ConcurrentHashMap<>();
    private volatile Map<OrganisationName, RequestLimit> limits = Map.of();
    private volatile Optional<Silence> silence = Optional.empty();
    private volatile long rightSentNanoseconds;
    private volatile long askedNanoseconds;
    private volatile long clearedNanoseconds;
    private long estimatedNanoseconds;

    private RequestLimitCoordinator(
            NodeId self,
            Locality locality,
            RequestLimitTerms terms,
            LongSupplier nanoseconds,
            LongSupplier wallMilliseconds,
            RandomGenerator random) {
        this.self = self;
        this.terms = terms;
        this.nanoseconds = nanoseconds;
        this.random = random;
        this.clocks = new ClockAgreement(nanoseconds, wallMilliseconds);
        this.membership = new LimitMembership(self, locality, nanoseconds);
        this.pool = new TokenPool(terms, membership::members, random.nextInt(), nanoseconds);
        this.delegation = new TokenDelegation(nanoseconds);
        this.batches = new TokenBatches(terms, nanoseconds);
        this.estimatedNanoseconds = nanoseconds.getAsLong();
        this.clearedNanoseconds = estimatedNanoseconds;
        this.rightSentNanoseconds = estimatedNanoseconds;
        this.askedNanoseconds = estimatedNanoseconds;
    }

    /**
     * Returns the coordinator of a node that has just started, without tokens and rights.
     *
     * @param nanoseconds a clock that never goes back
     * @param wallMilliseconds the wall clock
     * @param random must be thread safe
     */
    public static RequestLimitCoordinator of(
            NodeId self,
            Locality locality,
            RequestLimitTerms terms,
            LongSupplier nanoseconds,
            LongSupplier wallMilliseconds,
            RandomGenerator random) {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(locality, "locality is null");
        Objects.requireNonNull(terms, "terms is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(wallMilliseconds, "wallMilliseconds is null");
        Objects.requireNonNull(random, "random is null");
        return new RequestLimitCoordinator(self, locality, terms, nanoseconds, wallMilliseconds, random);
    }

    // -- queries

    /** Returns whether the configuration declares a limit. */
    public boolean isUsed() {
        return !limits.isEmpty();
    }

    /** Returns the holder that this node asks first: the one that has its right, or else the one that should have it. */
    public NodeId holder() {
        return delegation.holder().orElseGet(membership::preferred);
    }

    /** Returns the holders to ask for a request one after another. */
    public List<NodeId> holdersToAsk() {
        NodeId first = holder();
        List<NodeId> asked = new ArrayList<>(List.of(first));
        membership.holders().stream()
                .filter(other -> !other.equals(first))
                .limit(ASKED_HOLDERS - 1)
                .forEach(asked::add);
        return silence.filter(silent -> silent.holder().equals(first))
                        .filter(silent -> silent.untilNanoseconds() > nanoseconds.getAsLong())
                        .isPresent()
                ? asked.reversed()
                : asked;
    }

    /** Returns the share of each limit that this node generates as a holder now. */
    public double heldShare() {
        return pool.share();
    }

    /** Returns the tokens of an organisation that are at hand for requests at this node. */
    public int available(OrganisationName organisation) {
        return batches.available(organisation);
    }

    /** Returns what keeps this node from using its right; empty once it uses it. */
    public Optional<LimitHindrance> hindrance() {
        return membership.hindrance();
    }

    /** Returns how many nodes the limits are divided by. */
    public int members() {
        return membership.members();
    }

    /** Returns whether to ask the holder before a request has to wait: to extend the right, or for steady demand. */
    public boolean isExchangeDue() {
        boolean isStampNeeded = membership.isActive() && delegation.holder().isEmpty();
        long interval = isStampNeeded ? STAMP_INTERVAL_NANOSECONDS : RIGHT_INTERVAL_NANOSECONDS;
        boolean isDue = nanoseconds.getAsLong() - askedNanoseconds >= interval;
        return isUsed() && (isDue || batches.isLow(limits));
    }

    /** Returns when a refused client should return: after the expected time, spread so that not all return at once. */
    public Duration spread(Duration expected) {
        double factor = 1 + RETRY_SPREAD * random.nextDouble();
        long jitter = (long) (random.nextDouble() * RETRY_JITTER_MILLISECONDS * NANOSECONDS_PER_MILLISECOND);
        return Duration.ofNanos((long) (expected.toNanos() * factor) + jitter);
    }

    // -- entry

    /** Counts a request of an organisation, for the estimate of its demand. */
    public void recordTry(OrganisationName organisation) {
        batches.recordTry(organisation);
    }

    /** Takes a token that is at hand; returns when it expires. */
    public OptionalLong take(OrganisationName organisation) {
        checkClocks();
        return batches.take(organisation);
    }

    /** Returns a token whose request did not run; one that was taken before a suspension is lost. */
    public void giveBack(OrganisationName organisation, long untilNanoseconds) {
        checkClocks();
        RequestLimit limit = limits.get(organisation);
        boolean isFromBefore = limit == null || untilNanoseconds - terms.batchNanoseconds(limit) < clearedNanoseconds;
        if (!isFromBefore && untilNanoseconds > nanoseconds.getAsLong()) {
            batches.add(organisation, 1, untilNanoseconds);
        }
    }

    /** Returns after what time a token is expected; empty when it is not known that there are none. */
    public Optional<Duration> shortage(OrganisationName organisation) {
        return batches.shortage(organisation);
    }

    /** Returns the request to a holder; it gives this node's right to it where that is due. */
    public TokenRequest request(NodeId holder, Optional<OrganisationName> needed) {
        checkClocks();
        askedNanoseconds = nanoseconds.getAsLong();
        Map<OrganisationName, Integer> wanted = batches.wanted(limits, needed, membership.members());
        batches.recordAsked(wanted.keySet());
        return new TokenRequest(self, right(holder), needed, wanted, false);
    }

    private Optional<TokenRequest.Right> right(NodeId holder) {
        long now = nanoseconds.getAsLong();
        boolean isDue = now - rightSentNanoseconds >= RIGHT_INTERVAL_NANOSECONDS / 2
                || delegation.holder().isEmpty();
        // A right that lies at a holder which is no longer the preferred one is left to end there.
        if (!membership.isActive() || !holder.equals(membership.preferred()) || !isDue) {
            return Optional.empty();
        }
        Optional<TokenRequest.Right> right = delegation.give(holder, membership.members());
        right.ifPresent(_ -> rightSentNanoseconds = now);
        return right;
    }

    /**
     * Takes a holder's answer; to be called at most once for each request.
     *
     * @param sentNanoseconds when the request was sent, by this node's clock
     */
    public void accept(NodeId holder, TokenRequest request, TokenAnswer answer, long sentNanoseconds) {
        checkClocks();
        if (holder.equals(membership.preferred())) {
            delegation.recordStamp(holder, answer.epoch(), answer.stamp());
        }
        batches.recordAnswered(request.wanted().keySet());
        Map<OrganisationName, RequestLimit> current = limits;
        answer.granted().forEach((organisation, tokens) -> {
            RequestLimit limit = current.get(organisation);
            long valid = limit == null ? 0 : terms.validNanoseconds(limit, request.isSingle(organisation));
            long until = sentNanoseconds + valid;
            if (sentNanoseconds >= clearedNanoseconds && until > nanoseconds.getAsLong()) {
                batches.add(organisation, tokens, until);
                if (tokens >= request.allWanted().getOrDefault(organisation, 0)) {
                    batches.recordPlenty(organisation);
                }
            }
        });
        answer.waits().forEach((organisation, milliseconds) -> {
            if (current.containsKey(organisation)) {
                Duration expected = Duration.ofMillis(milliseconds);
                // The holder borrowed only for a request that waited; others may still find lenders.
                int granted = answer.granted().getOrDefault(organisation, 0);
                int wanted = request.allWanted().getOrDefault(organisation, 0);
                boolean isCertain =
                        request.needed().filter(organisation::equals).isPresent() && granted <= wanted * EMPTY_SHARE;
                batches.recordScarcity(organisation, expected, isCertain);
            }
        });
    }

    /** Remembers that a holder did not answer. */
    public void recordSilence(NodeId holder) {
        silence = Optional.of(new Silence(holder, nanoseconds.getAsLong() + SILENCE_NANOSECONDS));
    }

    // -- holder

    /** Answers a request for tokens from this node's own pool. */
    public TokenAnswer answer(TokenRequest request) {
        checkClocks();
        request.right().ifPresent(right -> pool.accept(request.node(), right));
        Map<OrganisationName, Integer> granted = new HashMap<>();
        Map<OrganisationName, Integer> waits = new HashMap<>();
        boolean hasShare = pool.share() > 0;
        Map<OrganisationName, RequestLimit> current = limits;
        request.allWanted().forEach((organisation, wanted) -> {
            RequestLimit limit = current.get(organisation);
            boolean isKept = limit == null || (request.isBorrowing() && isBorrowingPaused(organisation));
            int taken = isKept ? 0 : pool.take(organisation, limit, wanted, request.isSingle(organisation));
            if (taken > 0) {
                granted.put(organisation, taken);
            }
            if (taken < wanted && limit != null && hasShare) {
                waits.put(organisation, pool.waitMilliseconds(organisation, limit));
            }
        });
        // A holder that borrows delegates no right, so it needs no stamp.
        return request.isBorrowing()
                ? new TokenAnswer(0, 0, granted, waits)
                : new TokenAnswer(pool.epoch(), pool.stamp(), granted, waits);
    }

    /** Returns the holders to borrow from one after another; none when the request that waits got a token. */
    public List<NodeId> lenders(TokenRequest request, TokenAnswer answer) {
        if (request.isBorrowing()
                || request.needed().isEmpty()
                || answer.granted().containsKey(request.needed().get())) {
            return List.of();
        }
        OrganisationName needed = request.needed().get();
        if (!limits.containsKey(needed) || isBorrowingPaused(needed)) {
            return List.of();
        }
        List<NodeId> lenders = new ArrayList<>();
        addFromRandom(membership.nearHolders(), request.node(), lenders);
        addFromRandom(membership.farHolders(), request.node(), lenders);
        return lenders;
    }

    /** Adds lenders up to the limit, from a random one on, so that no holder is asked by all others. */
    private void addFromRandom(List<NodeId> holders, NodeId asking, List<NodeId> lenders) {
        int first = holders.isEmpty() ? 0 : random.nextInt(holders.size());
        for (int index = 0; index < holders.size() && lenders.size() < LENDERS; index++) {
            NodeId lender = holders.get((first + index) % holders.size());
            if (!lender.equals(self) && !lender.equals(asking)) {
                lenders.add(lender);
            }
        }
    }

    /** Returns whether nobody lent tokens of an organisation lately; this holder then keeps its own for its entries, too. */
    private boolean isBorrowingPaused(OrganisationName organisation) {
        Backoff pause = borrowingPauses.get(organisation);
        return pause != null && pause.isWaiting(nanoseconds.getAsLong());
    }

    /** Returns the request to a lender: it borrows from no other, as no request waits there. */
    public TokenRequest borrowing(TokenRequest request) {
        OrganisationName needed = request.needed().orElseThrow();
        // The batch must be as valid as the asking entry takes it to be, so a single one stays one.
        boolean isSingle = request.isSingle(needed);
        return new TokenRequest(
                self,
                Optional.empty(),
                isSingle ? request.needed() : Optional.empty(),
                isSingle ? Map.of() : Map.of(needed, request.allWanted().get(needed)),
                true);
    }

    /** Returns the answer with what a lender gave, which goes to the asking entry at once. */
    public TokenAnswer withLent(TokenRequest request, TokenAnswer answer, TokenAnswer lent) {
        OrganisationName needed = request.needed().orElseThrow();
        Map<OrganisationName, Integer> granted = new HashMap<>(answer.granted());
        Map<OrganisationName, Integer> waits = new HashMap<>(answer.waits());
        int tokens = lent.granted().getOrDefault(needed, 0);
        if (tokens > 0) {
            granted.merge(needed, tokens, Integer::sum);
            waits.remove(needed);
        } else if (lent.waits().containsKey(needed)) {
            waits.merge(needed, lent.waits().get(needed), Math::min);
        }
        return new TokenAnswer(answer.epoch(), answer.stamp(), granted, waits);
    }

    /** Remembers that nobody lent tokens of an organisation. */
    public void recordNotLent(OrganisationName organisation) {
        long now = nanoseconds.getAsLong();
        borrowingPauses.compute(organisation, (_, known) -> known == null ? FIRST_PAUSE.after(now) : known.after(now));
    }

    // -- periodic

    /**
     * Takes the members that are known and have not left, this one included; to be called by one thread, a few times a second.
     *
     * @param isComplete whether nothing tells of members that are not known yet
     */
    public void updateMembers(List<LimitMember> members, boolean isComplete) {
        checkClocks();
        clocks.follow();
        membership.update(members, isComplete);
        long now = nanoseconds.getAsLong();
        double seconds = (now - estimatedNanoseconds) / NANOSECONDS_PER_SECOND;
        if (seconds > 0) {
            batches.estimateDemand(seconds);
            estimatedNanoseconds = now;
        }
    }

    /** Takes the limits in force, empty when no organisation has one. */
    public void updateLimits(Map<OrganisationName, RequestLimit> inForce) {
        limits = Map.copyOf(inForce);
        batches.retain(limits);
        borrowingPauses.keySet().retainAll(limits.keySet());
    }

    private void checkClocks() {
        if (clocks.hasBroken()) {
            clearedNanoseconds = nanoseconds.getAsLong();
            pool.clear(random.nextInt());
            batches.clear();
        }
    }
}
