package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.Route;
import org.oleanderturn.model.RouteName;
import org.oleanderturn.proxy.Cancellation;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.traffic.TargetLoadTracker;
import org.oleanderturn.traffic.WindowedRetryBudget;

/**
 * Carries one client's request from guard to guard until it has an answer.
 *
 * <p>Invariants: one attempt runs at a time; a request that must not run twice is sent again only when the attempt
 * before certainly did not run; it reaches no more targets than its policy allows. {@link #run} is for one thread, the
 * rest is thread safe.
 */
final class EntryDispatch {
    /** How many guards may turn a request back before it is refused; each costs a round trip. */
    private static final int MAXIMUM_REFUSALS = 4;

    /** Time that a guard is not given, so that its own refusal arrives before the deadline here. */
    private static final Duration REPLY_MARGIN = Duration.ofMillis(25);

    /** The shortest and longest time after which a refused client is asked back. */
    private static final Duration SHORTEST_RETRY_AFTER = Duration.ofMillis(100);

    private static final Duration LONGEST_RETRY_AFTER = Duration.ofSeconds(1);

    /** The least share of the expected time after which a refused client is asked back; the most is one more. */
    private static final double LOWEST_JITTER_FACTOR = 0.5;

    /** When a request without a target latency should be answered. */
    private static final int DEFAULT_TARGET_LATENCY_MILLISECONDS = 1_000;

    private final MeshRequest request;
    private final MeshEntryDependencies dependencies;
    private final ClientAnswers answers;
    private final ConcurrentMap<NodeId, Set<Cancellation>> cancellationsByNode;
    private final Set<NodeId> excluded = new HashSet<>();
    private final AtomicReference<Cancellation> currentCancellation = new AtomicReference<>(Cancellation.create());
    private volatile boolean isClientDisconnected;
    private volatile boolean isTimedOut;
    private int attempts;
    private int targetAttempts;
    private int refusals;
    private boolean mayHaveRun;

    EntryDispatch(
            MeshRequest request,
            MeshEntryDependencies parts,
            ClientAnswers answers,
            ConcurrentMap<NodeId, Set<Cancellation>> outstanding) {
        this.request = Objects.requireNonNull(request, "request is null");
        this.dependencies = Objects.requireNonNull(parts, "parts is null");
        this.answers = Objects.requireNonNull(answers, "answers is null");
        this.cancellationsByNode = Objects.requireNonNull(outstanding, "outstanding is null");
    }

    /** Gives the request up: nobody waits for its answer. */
    void onClientDisconnect() {
        isClientDisconnected = true;
        currentCancellation.get().cancel();
    }

    /** Runs the request to its answer; blocks. */
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

    private void onDeadline() {
        isTimedOut = true;
        currentCancellation.get().cancel();
    }

    // -- attempts

    private Response attemptUntilDone() {
        GuardReply last = new GuardReply.NotRun("NO_ENDPOINT", false, Duration.ZERO);
        while (!isStopped()) {
            Optional<Endpoint> endpoint = chooseEndpoint();
            if (endpoint.isEmpty()) {
                return finish(last);
            }
            long begun = dependencies.clockNanoseconds().getAsLong();
            last = attempt(endpoint.get());
            if (last instanceof GuardReply.Ran ran && !isRetryableFailure(ran)) {
                return answers.delivered(ran.answer(), attempts);
            }
            boolean isSentAgain = decideRetry(last);
            Duration taken = Duration.ofNanos(dependencies.clockNanoseconds().getAsLong() - begun);
            dependencies
                    .decisionLog()
                    .record(new Decision.AttemptFailed(
                            request.attemptId(), attempts, endpoint.get().node(), last, taken, isSentAgain));
            if (!isSentAgain) {
                return finish(last);
            }
        }
        return finish(last);
    }

    private Optional<Endpoint> chooseEndpoint() {
        List<Endpoint> known = dependencies.endpoints().get().endpoints(request.service());
        List<Endpoint> ready = known.stream().filter(Endpoint::isReady).toList();
        double bytes = dependencies.exchangeSizes().expectedBytes(routeName(), kind());
        Optional<Endpoint> chosen = dependencies.placement().choose(ready, excluded, bytes);
        return chosen.isPresent() ? chosen : dependencies.placement().choose(known, excluded, bytes);
    }

    private GuardReply attempt(Endpoint endpoint) {
        attempts++;
        NodeId node = endpoint.node();
        logPlacement(node);
        Cancellation cancellation = Cancellation.create();
        currentCancellation.set(cancellation);
        Set<Cancellation> waiting = cancellationsByNode.computeIfAbsent(node, _ -> ConcurrentHashMap.newKeySet());
        waiting.add(cancellation);
        dependencies.loads().recordSent(node);
        try {
            if (isStopped()) {
                return new GuardReply.NotRun("DEADLINE", false, Duration.ZERO);
            }
            return exchange(endpoint, cancellation);
        } finally {
            dependencies.loads().recordEnded(node);
            waiting.remove(cancellation);
            excluded.add(node);
        }
    }

    private GuardReply exchange(Endpoint endpoint, Cancellation cancellation) {
        GuardReply reply = dependencies.guardClient().call(endpoint, guardRequest(cancellation));
        if (reply instanceof GuardReply.Ran ran) {
            dependencies
                    .exchangeSizes()
                    .record(routeName(), request.body().length, ran.answer().body().length);
        }
        return reply instanceof GuardReply.Abandoned && !isStopped()
                ? new GuardReply.Unknown("GUARD_UNREACHABLE")
                : reply;
    }

    private GuardRequest guardRequest(Cancellation cancellation) {
        Duration left = remaining();
        Route route = request.match().route();
        Duration given = left.compareTo(REPLY_MARGIN.multipliedBy(2)) > 0 ? left.minus(REPLY_MARGIN) : left;
        GuardRequestMetadata order = new GuardRequestMetadata(
                request.service(),
                dependencies.callerService(),
                route.kind(),
                route.effectivePriority(),
                given,
                Duration.ofMillis(route.targetLatencyMilliseconds().orElse(DEFAULT_TARGET_LATENCY_MILLISECONDS)),
                clientElapsed(),
                attempts);
        return new GuardRequest(
                request.method(),
                request.path(),
                request.headers(),
                request.body(),
                request.client(),
                order,
                left,
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

    /** Returns whether a target's failure is one that another target may not share. */
    private boolean isRetryableFailure(GuardReply.Ran ran) {
        return isIdempotent()
                && ran.answer().status() == HttpStatuses.INTERNAL_SERVER_ERROR
                && kind() != RequestKind.DOWNLOAD
                && targetAttempts + 1 < request.match().policy().maximumAttempts()
                && hasUntriedEndpoint();
    }

    private boolean hasUntriedEndpoint() {
        return dependencies.endpoints().get().endpoints(request.service()).stream()
                .anyMatch(endpoint -> !excluded.contains(endpoint.node()));
    }

    private boolean decideRetry(GuardReply reply) {
        if (isStopped()) {
            return false;
        }
        return switch (reply) {
            case GuardReply.NotRun notRun when !notRun.isRejectedByTarget() -> ++refusals < MAXIMUM_REFUSALS;
            case GuardReply.NotRun _ -> decideTargetRetry();
            case GuardReply.Ran _, GuardReply.Unknown _ -> {
                mayHaveRun = true;
                yield isIdempotent() && decideTargetRetry();
            }
            case GuardReply.Abandoned _ -> false;
        };
    }

    /** Returns whether the request may reach one more target. */
    private boolean decideTargetRetry() {
        targetAttempts++;
        return targetAttempts < request.match().policy().maximumAttempts()
                && hasUntriedEndpoint()
                && retryBudget().tryWithdraw();
    }

    private Response finish(GuardReply last) {
        return switch (last) {
            case GuardReply.Ran ran -> answers.delivered(ran.answer(), attempts);
            case GuardReply.NotRun notRun
            when !mayHaveRun -> answers.notRun(notRun.reason(), attempts, retryAfter(notRun.retryAfter()));
            case GuardReply.NotRun notRun -> answers.unknown(HttpStatuses.BAD_GATEWAY, notRun.reason(), attempts);
            case GuardReply.Unknown unknown ->
                answers.unknown(
                        isTimedOut ? HttpStatuses.GATEWAY_TIMEOUT : HttpStatuses.BAD_GATEWAY,
                        unknown.reason(),
                        attempts);
            case GuardReply.Abandoned _ ->
                answers.unknown(
                        HttpStatuses.GATEWAY_TIMEOUT, isClientDisconnected ? "CLIENT_GONE" : "TIMED_OUT", attempts);
        };
    }

    /** Returns when a refused client should come back: when a slot is expected, spread so that not all come at once. */
    private Duration retryAfter(Duration expected) {
        Duration longest = shorter(LONGEST_RETRY_AFTER, remaining().dividedBy(3));
        Duration base =
                expected.compareTo(SHORTEST_RETRY_AFTER) < 0 ? SHORTEST_RETRY_AFTER : shorter(expected, longest);
        return Duration.ofNanos((long)
                (base.toNanos() * (LOWEST_JITTER_FACTOR + dependencies.random().nextDouble())));
    }

    // -- helpers

    private Duration remaining() {
        return Duration.ofNanos(
                request.deadlineNanoseconds() - dependencies.clockNanoseconds().getAsLong());
    }

    private Duration clientElapsed() {
        long here = dependencies.clockNanoseconds().getAsLong() - request.receivedNanoseconds();
        return request.earlierWait().plusNanos(here);
    }

    private WindowedRetryBudget retryBudget() {
        return dependencies.retryBudgets().apply(request.service());
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    private void logPlacement(NodeId node) {
        TargetLoadTracker.TargetLoad standing = dependencies.loads().load(node);
        long age = dependencies.clockNanoseconds().getAsLong() - standing.reportedNanoseconds();
        dependencies
                .decisionLog()
                .record(new Decision.Placed(
                        request.attemptId(),
                        attempts,
                        routeName(),
                        request.service(),
                        node,
                        request.version(),
                        standing.report(),
                        TimeUnit.NANOSECONDS.toMillis(age),
                        remaining()));
    }
}
