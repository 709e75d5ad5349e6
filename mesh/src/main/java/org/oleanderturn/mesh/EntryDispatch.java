package org.oleanderturn.mesh;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.traffic.CrashVerdict;
import org.oleanderturn.traffic.WindowedRetryBudget;

/**
 * Dispatches one client's request: sends it to guards, one after another, until there is a response for the client.
 *
 * <p>Invariants: one attempt runs at a time; a request that is not idempotent is retried only when the attempt before
 * certainly did not run; a request reaches no more targets than its policy allows, and none while it is quarantined.
 * {@link #run} is for one thread, the other methods are thread safe.
 */
final class EntryDispatch {
    /** How many guards may refuse a request before the client is refused; each refusal costs a round trip. */
    private static final int MAXIMUM_REFUSALS = 4;

    /** Subtracted from the time that a guard is given, so that its refusal arrives before the deadline of this node. */
    private static final Duration REPLY_MARGIN = Duration.ofMillis(25);

    private static final String QUARANTINED = "QUARANTINED";

    private static final String CONFIGURATION_BEHIND = "CONFIGURATION_BEHIND";

    /** Stands in for the target latency of a route that states none. */
    private static final int DEFAULT_TARGET_LATENCY_MILLISECONDS = 1_000;

    private final MeshRequest request;
    private final BooleanSupplier hasClientLeft;
    private final Supplier<Either<RoutingDenial, ConfigurationVersion>> keyCheck;
    private final MeshEntryDependencies dependencies;
    private final ClientResponses responses;
    private final EntryOffers offers;
    private final EndpointChoice choice;
    private final ConcurrentMap<NodeId, Set<Cancellation>> cancellationsByNode;
    private final Set<NodeId> excluded = new HashSet<>();
    private final AtomicReference<Cancellation> currentCancellation = new AtomicReference<>(Cancellation.create());
    private volatile boolean isClientDisconnected;
    private volatile boolean isTimedOut;
    private int attempts;
    private int targetAttempts;
    private int refusals;
    private boolean mayHaveRun;
    private boolean isKnownNotToHaveRun;
    private Optional<Duration> soonestRetry = Optional.empty();

    /**
     * Creates a dispatch.
     *
     * @param hasClientLeft asks the client's connection, on the thread that runs the dispatch
     * @param keyCheck returns the version that still holds the key of the request, or why it may not run
     */
    EntryDispatch(
            MeshRequest request,
            BooleanSupplier hasClientLeft,
            Supplier<Either<RoutingDenial, ConfigurationVersion>> keyCheck,
            MeshEntryDependencies dependencies,
            ClientResponses responses,
            ConcurrentMap<NodeId, Set<Cancellation>> cancellationsByNode) {
        this.request = Objects.requireNonNull(request, "request is null");
        this.hasClientLeft = Objects.requireNonNull(hasClientLeft, "hasClientLeft is null");
        this.keyCheck = Objects.requireNonNull(keyCheck, "keyCheck is null");
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies is null");
        this.choice = new EndpointChoice(request, dependencies);
        this.responses = Objects.requireNonNull(responses, "responses is null");
        this.offers = new EntryOffers(request, dependencies);
        this.cancellationsByNode = Objects.requireNonNull(cancellationsByNode, "cancellationsByNode is null");
    }

    /** Cancels the request, as its client no longer waits for the response. */
    void onClientDisconnect() {
        isClientDisconnected = true;
        currentCancellation.get().cancel();
    }

    /** Returns the response for the client; blocks until there is one or the deadline has passed. */
    Response run() {
        ScheduledFuture<?> deadline =
                dependencies.scheduler().schedule(this::onDeadline, remaining().toNanos(), TimeUnit.NANOSECONDS);
        try {
            retryBudget().recordRequest();
            return attemptUntilDone();
        } finally {
            deadline.cancel(false);
        }
    }

    /** Returns whether the response said that the request did not run; for the thread that ran the dispatch. */
    boolean isKnownNotToHaveRun() {
        return isKnownNotToHaveRun;
    }

    /** Asks the client's connection whether the client has left; for the thread that runs the dispatch. */
    private boolean isClientGone() {
        if (hasClientLeft.getAsBoolean()) {
            isClientDisconnected = true;
        }
        return isClientDisconnected;
    }

    private void onDeadline() {
        isTimedOut = true;
        currentCancellation.get().cancel();
    }

    // -- attempts

    private Response attemptUntilDone() {
        GuardReply last = new GuardReply.NotRun("NO_ENDPOINT", false, Duration.ZERO);
        while (!isStopped()) {
            Either<RoutingDenial, ConfigurationVersion> checked = keyCheck.get();
            if (checked.isLeft()) {
                return denyKey(checked.getLeft());
            }
            CrashVerdict verdict = dependencies.crashMonitor().verdict(request.identity());
            if (verdict instanceof CrashVerdict.Quarantined quarantined) {
                dependencies.crashMonitor().recordRefusal(request.attemptId(), request.identity(), quarantined);
                return finish(new GuardReply.Quarantined(CrashMonitor.retryAfter(quarantined)));
            }
            Optional<Endpoint> endpoint = choice.choose(verdict, excluded, attempts == 0);
            if (endpoint.isEmpty()) {
                return finish(last);
            }
            if (!offers.isOffered(endpoint.get())) {
                return finish(attempts > 0 ? last : withhold());
            }
            long started = dependencies.clockNanoseconds().getAsLong();
            last = attempt(endpoint.get(), checked.get());
            Duration duration = Duration.ofNanos(dependencies.clockNanoseconds().getAsLong() - started);
            recordReply(endpoint.get(), last, duration);
            if (last instanceof GuardReply.Ran ran && !isRetryableFailure(ran)) {
                return responses.delivered(ran.response(), attempts);
            }
            recordRefusal(last);
            boolean isRetried = decideRetry(last);
            dependencies
                    .decisionLog()
                    .record(new Decision.AttemptFailed(
                            request.attemptId(),
                            attempts,
                            endpoint.get().node(),
                            last,
                            request.identity().fingerprint(),
                            duration,
                            isRetried,
                            retryBudget().usage()));
            if (!isRetried) {
                return finish(last);
            }
        }
        return finish(last);
    }

    private Response denyKey(RoutingDenial denial) {
        isKnownNotToHaveRun = !mayHaveRun;
        return mayHaveRun
                ? responses.withVersion(denial.version()).unknown(HttpStatuses.BAD_GATEWAY, denial.reason(), attempts)
                : responses.denied(denial, attempts);
    }

    /** Ends a request whose key a guard knows to be removed; this node may not have heard of that version yet. */
    private Response denyKeyOfGuard() {
        return denyKey(keyCheck.get()
                .fold(denial -> denial, version -> new RoutingDenial.Undetermined(CONFIGURATION_BEHIND, version)));
    }

    /** Ends a request that is offered to no target, and remembers when one expects room. */
    private GuardReply withhold() {
        GuardReply reply = offers.withhold();
        recordRefusal(reply);
        return reply;
    }

    private void recordReply(Endpoint endpoint, GuardReply reply, Duration duration) {
        offers.record(reply, duration);
        boolean isOverdue = isTimedOut && !isClientDisconnected;
        dependencies.rollouts().recordReply(request.service(), routeName(), endpoint, reply, isOverdue, duration);
    }

    private GuardReply attempt(Endpoint endpoint, ConfigurationVersion checked) {
        attempts++;
        NodeId node = endpoint.node();
        choice.logPlacement(node, attempts);
        Cancellation cancellation = Cancellation.create(this::isClientGone);
        currentCancellation.set(cancellation);
        Set<Cancellation> cancellations = cancellationsByNode.computeIfAbsent(node, _ -> ConcurrentHashMap.newKeySet());
        cancellations.add(cancellation);
        dependencies.loads().recordSent(node);
        dependencies.rollouts().recordSent(request.service(), endpoint);
        try {
            if (isStopped()) {
                return new GuardReply.NotRun("DEADLINE", false, Duration.ZERO);
            }
            return exchange(endpoint, checked, cancellation);
        } finally {
            dependencies.loads().recordEnded(node);
            dependencies.rollouts().recordEnded(request.service(), endpoint);
            cancellations.remove(cancellation);
            excluded.add(node);
        }
    }

    private GuardReply exchange(Endpoint endpoint, ConfigurationVersion checked, Cancellation cancellation) {
        GuardReply reply = WatchedExchange.of(dependencies.guardClient(), dependencies.crashMonitor())
                .call(endpoint, guardRequest(endpoint.node(), checked, cancellation));
        if (reply instanceof GuardReply.Ran ran) {
            dependencies
                    .exchangeSizes()
                    .record(routeName(), request.body().length, ran.response().body().length);
        }
        return reply instanceof GuardReply.Abandoned && !isStopped()
                ? GuardReply.Unknown.of("GUARD_UNREACHABLE")
                : reply;
    }

    private GuardRequest guardRequest(NodeId node, ConfigurationVersion checked, Cancellation cancellation) {
        Duration remaining = remaining();
        Route route = request.match().route();
        Duration guardTime =
                remaining.compareTo(REPLY_MARGIN.multipliedBy(2)) > 0 ? remaining.minus(REPLY_MARGIN) : remaining;
        GuardRequestMetadata metadata = new GuardRequestMetadata(
                request.service(),
                dependencies.callerService(),
                route.kind(),
                request.rank(),
                guardTime,
                Duration.ofMillis(route.targetLatencyMilliseconds().orElse(DEFAULT_TARGET_LATENCY_MILLISECONDS)),
                clientElapsed(),
                attempts,
                targetAttempts > 0,
                dependencies.crashMonitor().suspicion(request.identity()),
                dependencies
                        .conditions()
                        .find(node)
                        .filter(TargetCondition::isBinding)
                        .map(TargetCondition::headerValue),
                request.organisationName(),
                request.checkedKey(checked));
        return new GuardRequest(
                request.method(),
                request.path(),
                request.headers(),
                request.body(),
                request.identity(),
                request.client(),
                metadata,
                Duration.ZERO,
                remaining,
                request.bodies(),
                cancellation);
    }

    // -- decisions

    private boolean isStopped() {
        return isClientDisconnected || isTimedOut || !remaining().isPositive();
    }

    private RouteName routeName() {
        return request.match().route().name();
    }

    private RequestKind kind() {
        return request.match().route().kind();
    }

    private boolean isIdempotent() {
        return kind().isIdempotent();
    }

    /** Returns whether another target may succeed where the one that responded failed. */
    private boolean isRetryableFailure(GuardReply.Ran ran) {
        return isIdempotent()
                && ran.response().status() == HttpStatuses.INTERNAL_SERVER_ERROR
                && kind() != RequestKind.DOWNLOAD
                && targetAttempts + 1 < request.match().policy().maximumAttempts()
                && hasUntriedEndpoint();
    }

    private boolean hasUntriedEndpoint() {
        return dependencies.endpoints().get().endpoints(request.service()).stream()
                .anyMatch(endpoint -> !excluded.contains(endpoint.node()));
    }

    /** Returns whether to try another guard after the reply, and updates the counts that bound the attempts. */
    private boolean decideRetry(GuardReply reply) {
        if (isStopped()) {
            return false;
        }
        return switch (reply) {
            case GuardReply.NotRun notRun when notRun.isForRemovedKey() -> false;
            case GuardReply.NotRun notRun when !notRun.isRejectedByTarget() -> ++refusals < MAXIMUM_REFUSALS;
            case GuardReply.NotRun _ -> decideTargetRetry();
            case GuardReply.Ran _, GuardReply.Unknown _ -> {
                mayHaveRun = true;
                yield isIdempotent() && decideTargetRetry();
            }
            case GuardReply.Abandoned _, GuardReply.Quarantined _ -> false;
        };
    }

    /** Remembers when the guard that refused expects room, as a client comes back best when the first one does. */
    private void recordRefusal(GuardReply reply) {
        if (reply instanceof GuardReply.NotRun notRun && notRun.retryAfter().isPositive()) {
            soonestRetry = Optional.of(soonestRetry
                    .map(known -> shorter(known, notRun.retryAfter()))
                    .orElse(notRun.retryAfter()));
        }
    }

    /** Counts an attempt that may have reached a target, and takes a retry from the budget if another may be tried. */
    private boolean decideTargetRetry() {
        targetAttempts++;
        return targetAttempts < request.match().policy().maximumAttempts()
                && hasUntriedEndpoint()
                && retryBudget().tryWithdraw();
    }

    private Response finish(GuardReply last) {
        boolean isRefusal = last instanceof GuardReply.NotRun || last instanceof GuardReply.Quarantined;
        isKnownNotToHaveRun = isRefusal && !mayHaveRun;
        return switch (last) {
            case GuardReply.Ran ran -> responses.delivered(ran.response(), attempts);
            case GuardReply.NotRun notRun when notRun.isForRemovedKey() -> denyKeyOfGuard();
            case GuardReply.NotRun notRun
            when !mayHaveRun ->
                responses.notRun(notRun.reason(), attempts, retryAfter(soonestRetry.orElse(Duration.ZERO)));
            case GuardReply.NotRun notRun -> responses.unknown(HttpStatuses.BAD_GATEWAY, notRun.reason(), attempts);
            case GuardReply.Quarantined quarantined
            when !mayHaveRun -> responses.notRun(QUARANTINED, attempts, quarantined.retryAfter());
            case GuardReply.Quarantined _ -> responses.unknown(HttpStatuses.BAD_GATEWAY, QUARANTINED, attempts);
            case GuardReply.Unknown unknown ->
                responses.unknown(
                        isTimedOut || unknown.cause() == GuardReply.Cause.TIMED_OUT
                                ? HttpStatuses.GATEWAY_TIMEOUT
                                : HttpStatuses.BAD_GATEWAY,
                        unknown.reason(),
                        attempts);
            case GuardReply.Abandoned _ ->
                responses.unknown(
                        HttpStatuses.GATEWAY_TIMEOUT, isClientDisconnected ? "CLIENT_GONE" : "TIMED_OUT", attempts);
        };
    }

    private Duration retryAfter(Duration expected) {
        return ClientRetryTime.after(expected, remaining(), dependencies.random());
    }

    // -- helpers

    private Duration remaining() {
        return Duration.ofNanos(
                request.deadlineNanoseconds() - dependencies.clockNanoseconds().getAsLong());
    }

    private Duration clientElapsed() {
        long sinceArrival = dependencies.clockNanoseconds().getAsLong() - request.receivedNanoseconds();
        return request.earlierWait().plusNanos(sinceArrival);
    }

    private WindowedRetryBudget retryBudget() {
        return dependencies.retryBudgets().apply(request.service());
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }
}
