package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.oleanderturn.membership.Liveness;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.mesh.LimitDecision;
import org.oleanderturn.mesh.RequestLimiter;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Organisation;
import org.oleanderturn.model.OrganisationName;
import org.oleanderturn.model.PlacementExplanation;
import org.oleanderturn.model.RequestLimit;
import org.oleanderturn.traffic.LateRequests;
import org.oleanderturn.traffic.LimitHindrance;
import org.oleanderturn.traffic.LimitMember;
import org.oleanderturn.traffic.RequestLimitCoordinator;
import org.oleanderturn.traffic.TokenAnswer;
import org.oleanderturn.traffic.TokenRequest;

/**
 * Keeps the limits of organisations together with the other nodes, by tokens from holders.
 *
 * <p>Invariant: a request waits for holders only when there is no token at hand, and for a bounded time. Thread safe;
 * {@link #run} must be called by one thread at a time.
 */
final class SharedRequestLimiter implements RequestLimiter {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** How often to look whether a holder must be asked: several times during the validity of a batch. */
    private static final long INTERVAL_MILLISECONDS = 100;

    /** How often a node without limits reviews the members: less than the time before new ones use their right. */
    private static final long IDLE_INTERVAL_MILLISECONDS = 1_000;

    /** Reviewing the members of a large mesh costs about a millisecond. */
    private static final int ROUNDS_PER_REVIEW = 3;

    /** For so long an entry waits for a holder: an exchange within a zone, and two by the holder with another region. */
    private static final Duration HOLDER_TIMEOUT = Duration.ofMillis(60);

    /** For so long a holder waits for a lender: an exchange with another region takes 16 to 24 ms. */
    private static final Duration LENDER_TIMEOUT = Duration.ofMillis(40);

    /** For so long a holder borrows at most for one request, so that its answer still comes in time. */
    private static final Duration BORROWING_TIME = Duration.ofMillis(45);

    /** When a client may return that no holder answered; another holder is chosen within a few of these. */
    private static final Duration UNDETERMINED_RETRY_AFTER = Duration.ofMillis(400);

    private final NodeId self;
    private final RequestLimitCoordinator coordinator;
    private final TokenTransport transport;
    private final Supplier<ConfigurationSnapshot> configuration;
    private final Supplier<List<MemberRecord>> members;
    private final Predicate<List<MemberRecord>> isComplete;
    private final LongSupplier nanoseconds;
    private final RequestLimitObserver observer;
    private final LateRequests late;
    private volatile Map<NodeId, Address> addresses = Map.of();
    private volatile ConfigurationSnapshot known = ConfigurationSnapshot.empty();
    private long rounds;
    private Optional<LimitHindrance> loggedHindrance = Optional.empty();

    /**
     * Creates the limiter of a node.
     *
     * @param configuration returns the configuration in force
     * @param members returns the records of all members, this node's included
     * @param isComplete returns whether nothing tells of members that are not among the given ones
     */
    SharedRequestLimiter(
            NodeId self,
            RequestLimitCoordinator coordinator,
            TokenTransport transport,
            Supplier<ConfigurationSnapshot> configuration,
            Supplier<List<MemberRecord>> members,
            Predicate<List<MemberRecord>> isComplete,
            LongSupplier nanoseconds,
            RequestLimitObserver observer) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.coordinator = Objects.requireNonNull(coordinator, "coordinator is null");
        this.transport = Objects.requireNonNull(transport, "transport is null");
        this.configuration = Objects.requireNonNull(configuration, "configuration is null");
        this.members = Objects.requireNonNull(members, "members is null");
        this.isComplete = Objects.requireNonNull(isComplete, "isComplete is null");
        this.nanoseconds = Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        this.observer = Objects.requireNonNull(observer, "observer is null");
        this.late = LateRequests.of(nanoseconds);
    }

    /** Returns the limiter of a node of the users' platform; settings without a tolerance have the usual one. */
    static SharedRequestLimiter of(
            NodeSettings settings,
            ControlPlane control,
            MeshConfiguration configuration,
            TokenTransport transport,
            RequestLimitObserver observer) {
        NodeSettings.RequestLimits tolerance = settings.mesh()
                .flatMap(NodeSettings.Mesh::requestLimits)
                .orElseGet(NodeSettings.RequestLimits::defaults);
        RelayKnowledge relays = new RelayKnowledge(control.relayDirectory(), System::nanoTime);
        return new SharedRequestLimiter(
                settings.node(),
                RequestLimitCoordinator.of(
                        settings.node(),
                        settings.locality(),
                        tolerance.terms(),
                        System::nanoTime,
                        System::currentTimeMillis,
                        SharedRandom.create()),
                transport,
                () -> configuration.routes().snapshot(),
                () -> control.gossip().table().records(),
                relays::isCovered,
                System::nanoTime,
                observer);
    }

    /** Returns the coordinator, for metrics. */
    RequestLimitCoordinator coordinator() {
        return coordinator;
    }

    // -- entry

    @Override
    public LimitDecision tryAcquire(Organisation organisation, boolean isLate) {
        if (organisation.limit().isEmpty()) {
            return LimitDecision.Granted.uncounted();
        }
        updateLimits();
        OrganisationName name = organisation.name();
        Optional<Duration> refusal = isLate ? late.refusal(name) : Optional.empty();
        LimitDecision decision =
                refusal.isPresent() ? new LimitDecision.Exceeded(coordinator.spread(refusal.get())) : acquire(name);
        if (!isLate && decision instanceof LimitDecision.Exceeded) {
            late.recordRefusal(name);
        }
        observer.record(name, decision, coordinator);
        return decision;
    }

    private LimitDecision acquire(OrganisationName name) {
        coordinator.recordTry(name);
        OptionalLong token = coordinator.take(name);
        if (token.isEmpty() && coordinator.shortage(name).isEmpty()) {
            ask(name);
            token = coordinator.take(name);
        }
        return decide(name, token);
    }

    @Override
    public Optional<PlacementExplanation.LimitState> state(Organisation organisation) {
        OrganisationName name = organisation.name();
        return organisation
                .limit()
                .map(limit -> new PlacementExplanation.LimitState(
                        limit.requestsPerSecond(),
                        coordinator.available(name),
                        coordinator.holder(),
                        coordinator.shortage(name).map(Duration::toMillis)));
    }

    private LimitDecision decide(OrganisationName name, OptionalLong token) {
        if (token.isPresent()) {
            return new LimitDecision.Granted(token.getAsLong());
        }
        Optional<Duration> expected = coordinator.shortage(name);
        return expected.isPresent()
                ? new LimitDecision.Exceeded(coordinator.spread(expected.get()))
                : new LimitDecision.Undetermined(coordinator.spread(UNDETERMINED_RETRY_AFTER));
    }

    /** Asks holders one after another until one has answered. */
    private void ask(OrganisationName needed) {
        for (NodeId holder : coordinator.holdersToAsk()) {
            if (exchange(holder, Optional.of(needed))) {
                return;
            }
        }
    }

    @Override
    public void giveBack(Organisation organisation, LimitDecision.Granted granted) {
        if (organisation.limit().isPresent()) {
            coordinator.giveBack(organisation.name(), granted.untilNanoseconds());
        }
    }

    private boolean exchange(NodeId holder, Optional<OrganisationName> needed) {
        TokenRequest request = coordinator.request(holder, needed);
        long sent = nanoseconds.getAsLong();
        if (holder.equals(self)) {
            coordinator.accept(holder, request, answer(request), sent);
            return true;
        }
        Either<ControlFailure, TokenAnswer> answer = send(holder, request, HOLDER_TIMEOUT);
        answer.peek(taken -> coordinator.accept(holder, request, taken, sent))
                .peekLeft(_ -> coordinator.recordSilence(holder));
        return answer.isRight();
    }

    private Either<ControlFailure, TokenAnswer> send(NodeId holder, TokenRequest request, Duration timeout) {
        Address address = addresses.get(holder);
        if (address == null) {
            return Either.left(new ControlFailure.Unreachable("the address of " + holder + " is unknown"));
        }
        observer.recordMessage();
        return transport.takeTokens(address, request, timeout);
    }

    // -- holder

    /** Answers a request for tokens; borrows from other holders when a request waits for a token that there is not. */
    TokenAnswer answer(TokenRequest request) {
        updateLimits();
        TokenAnswer answer = coordinator.answer(request);
        List<NodeId> lenders = coordinator.lenders(request, answer);
        long end = nanoseconds.getAsLong() + BORROWING_TIME.toNanos();
        for (NodeId lender : lenders) {
            Duration remaining = Duration.ofNanos(end - nanoseconds.getAsLong());
            if (!remaining.isPositive()) {
                break;
            }
            Duration timeout = remaining.compareTo(LENDER_TIMEOUT) < 0 ? remaining : LENDER_TIMEOUT;
            Either<ControlFailure, TokenAnswer> lent = send(lender, coordinator.borrowing(request), timeout);
            if (lent.isRight()) {
                answer = coordinator.withLent(request, answer, lent.get());
            }
            OrganisationName needed = request.needed().orElseThrow();
            int tokens = answer.granted().getOrDefault(needed, 0);
            if (tokens > 0) {
                observer.recordBorrowed(tokens);
                return answer;
            }
        }
        if (!lenders.isEmpty()) {
            coordinator.recordNotLent(request.needed().orElseThrow());
        }
        return answer;
    }

    // -- periodic

    /** Reviews the members and asks the holder when that is due; returns the delay before the next run, in milliseconds. */
    long run() {
        updateLimits();
        boolean isUsed = coordinator.isUsed();
        if (!isUsed || rounds++ % ROUNDS_PER_REVIEW == 0) {
            updateMembers(members.get());
        }
        if (coordinator.isExchangeDue()) {
            exchange(coordinator.holder(), Optional.empty());
        }
        return isUsed ? INTERVAL_MILLISECONDS : IDLE_INTERVAL_MILLISECONDS;
    }

    private void updateMembers(List<MemberRecord> records) {
        Map<NodeId, Address> reachable = new HashMap<>();
        records.stream()
                .filter(record -> record.liveness().isReachable())
                .forEach(record -> reachable.put(record.node(), record.controlAddress()));
        addresses = Map.copyOf(reachable);
        List<LimitMember> acting = records.stream()
                .filter(record -> record.liveness() != Liveness.LEFT)
                .map(SharedRequestLimiter::member)
                .toList();
        // Without limits the store is not asked for its relays; the node then begins to use its right 3 s after it
        // knows one.
        coordinator.updateMembers(acting, coordinator.isUsed() && isComplete.test(records));
        logHindrance(acting);
    }

    private void logHindrance(List<LimitMember> acting) {
        Optional<LimitHindrance> present = coordinator.hindrance();
        if (coordinator.isUsed() && !present.equals(loggedHindrance)) {
            loggedHindrance = present;
            log.atInfo().log(
                    "use of the right to the limits of organisations waits for: %s; %s members, %s unreachable",
                    present.map(LimitHindrance::name).orElse("nothing"),
                    acting.size(),
                    acting.stream().filter(member -> !member.isReachable()).count());
        }
    }

    private static LimitMember member(MemberRecord record) {
        EndpointState state = record.endpoint().state();
        boolean isStaying = state != EndpointState.DRAINING && state != EndpointState.LEFT;
        return new LimitMember(
                record.node(), record.locality(), record.liveness().isReachable(), isStaying);
    }

    /** Compares objects, as each version is another one, and comparing contents for each request would cost too much. */
    @SuppressWarnings("ReferenceEquality")
    private void updateLimits() {
        if (configuration.get() == known) {
            return;
        }
        synchronized (this) {
            // Read under the lock: a thread that waited for it must not put an older version in force again.
            ConfigurationSnapshot current = configuration.get();
            Map<OrganisationName, RequestLimit> limits = new HashMap<>();
            for (Organisation organisation :
                    current.configuration().organisations().orElse(List.of())) {
                organisation.limit().ifPresent(limit -> limits.put(organisation.name(), limit));
            }
            coordinator.updateLimits(limits);
            late.retain(limits.keySet());
            known = current;
        }
    }
}
