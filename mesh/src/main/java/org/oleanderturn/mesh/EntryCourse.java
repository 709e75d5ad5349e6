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
final class EntryCourse {
    /** How many guards may turn a request back before it is refused; each costs a round trip. */
    private static final int MOST_REFUSALS = 4;

    /** Time that a guard is not given, so that its own refusal arrives before the deadline here. */
    private static final Duration RETURN_TRIP = Duration.ofMillis(25);

    /** The shortest and longest time after which a refused client is asked back. */
    private static final Duration SHORTEST_RETURN = Duration.ofMillis(100);

    private static final Duration LONGEST_RETURN = Duration.ofSeconds(1);

    /** The least share of the expected time after which a refused client is asked back; the most is one more. */
    private static final double SHORTEST_SPREAD = 0.5;

    /** When a request without a target latency should be answered. */
    private static final int USUAL_TARGET_LATENCY_MILLISECONDS = 1_000;

    private final EntryRequest request;
    private final EntryParts parts;
    private final EntryAnswers answers;
    private final ConcurrentMap<NodeId, Set<Cancellation>> outstanding;
    private final Set<NodeId> excluded = new HashSet<>();
    private final AtomicReference<Cancellation> current = new AtomicReference<>(Cancellation.create());
    private volatile boolean isClientGone;
    private volatile boolean isTimeUp;
    private int attempts;
    private int arrivals;
    private int refusals;
    private boolean mayHaveRun;

    EntryCourse(
            EntryRequest request,
            EntryParts parts,
            EntryAnswers answers,
            ConcurrentMap<NodeId, Set<Cancellation>> outstanding) {
        this.request = Objects.requireNonNull(request, "request is null");
        this.parts = Objects.requireNonNull(parts, "parts is null");
        this.answers = Objects.requireNonNull(answers, "answers is null");
        this.outstanding = Objects.requireNonNull(outstanding, "outstanding is null");
    }

    /** Gives the request up: nobody waits for its answer. */
    void clientGone() {
        isClientGone = true;
        current.get().cancel();
    }

    /** Runs the request to its answer; blocks. */
    Response run() {
        ScheduledFuture<?> deadline = parts.timers().schedule(this::timeUp, left().toNanos(), TimeUnit.NANOSECONDS);
        try {
            repeats().recordRequest();
            return attemptAll();
        } finally {
            deadline.cancel(false);
        }
    }

    private void timeUp() {
        isTimeUp = true;
        current.get().cancel();
    }

    // -- attempts

    private Response attemptAll() {
        GuardReply last = new GuardReply.NotRun("NO_ENDPOINT", false, Duration.ZERO);
        while (!isOver()) {
            Optional<Endpoint> endpoint = choose();
            if (endpoint.isEmpty()) {
                return giveUp(last);
            }
            long begun = parts.nanoseconds().getAsLong();
            last = attempt(endpoint.get());
            if (last instanceof GuardReply.Ran ran && !isWorthRepeating(ran)) {
                return answers.delivered(ran.answer(), attempts);
            }
            boolean isSentAgain = isSentAgain(last);
            Duration taken = Duration.ofNanos(parts.nanoseconds().getAsLong() - begun);
            parts.decisions()
                    .record(new Decision.AttemptFailed(
                            request.id(), attempts, endpoint.get().node(), last, taken, isSentAgain));
            if (!isSentAgain) {
                return giveUp(last);
            }
        }
        return giveUp(last);
    }

    private Optional<Endpoint> choose() {
        List<Endpoint> known = parts.endpoints().get().endpoints(request.service());
        List<Endpoint> ready = known.stream().filter(Endpoint::isReady).toList();
        double bytes = parts.sizes().expectedBytes(routeName(), kind());
        Optional<Endpoint> chosen = parts.placement().choose(ready, excluded, bytes);
        return chosen.isPresent() ? chosen : parts.placement().choose(known, excluded, bytes);
    }

    private GuardReply attempt(Endpoint endpoint) {
        attempts++;
        NodeId node = endpoint.node();
        notePlaced(node);
        Cancellation cancellation = Cancellation.create();
        current.set(cancellation);
        Set<Cancellation> waiting = outstanding.computeIfAbsent(node, _ -> ConcurrentHashMap.newKeySet());
        waiting.add(cancellation);
        parts.board().recordSent(node);
        try {
            if (isOver()) {
                return new GuardReply.NotRun("DEADLINE", false, Duration.ZERO);
            }
            return exchange(endpoint, cancellation);
        } finally {
            parts.board().recordEnded(node);
            waiting.remove(cancellation);
            excluded.add(node);
        }
    }

    private GuardReply exchange(Endpoint endpoint, Cancellation cancellation) {
        GuardReply reply = parts.guards().call(endpoint, guardRequest(cancellation));
        if (reply instanceof GuardReply.Ran ran) {
            parts.sizes()
                    .record(routeName(), request.body().length, ran.answer().body().length);
        }
        return reply instanceof GuardReply.Abandoned && !isOver() ? new GuardReply.Unknown("GUARD_UNREACHABLE") : reply;
    }

    private GuardRequest guardRequest(Cancellation cancellation) {
        Duration left = left();
        Route route = request.match().route();
        Duration given = left.compareTo(RETURN_TRIP.multipliedBy(2)) > 0 ? left.minus(RETURN_TRIP) : left;
        GuardOrder order = new GuardOrder(
                request.service(),
                parts.caller(),
                route.kind(),
                route.effectivePriority(),
                given,
                Duration.ofMillis(route.targetLatencyMilliseconds().orElse(USUAL_TARGET_LATENCY_MILLISECONDS)),
                elapsed(),
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

    private boolean isOver() {
        return isClientGone || isTimeUp || !left().isPositive();
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
    private boolean isWorthRepeating(GuardReply.Ran ran) {
        return isIdempotent()
                && ran.answer().status() == HttpStatuses.INTERNAL_SERVER_ERROR
                && kind() != RequestKind.DOWNLOAD
                && arrivals + 1 < request.match().policy().maximumAttempts()
                && hasOther();
    }

    private boolean hasOther() {
        return parts.endpoints().get().endpoints(request.service()).stream()
                .anyMatch(endpoint -> !excluded.contains(endpoint.node()));
    }

    private boolean isSentAgain(GuardReply reply) {
        if (isOver()) {
            return false;
        }
        return switch (reply) {
            case GuardReply.NotRun notRun when !notRun.isOffered() -> ++refusals < MOST_REFUSALS;
            case GuardReply.NotRun _ -> isRepeated();
            case GuardReply.Ran _, GuardReply.Unknown _ -> {
                mayHaveRun = true;
                yield isIdempotent() && isRepeated();
            }
            case GuardReply.Abandoned _ -> false;
        };
    }

    /** Returns whether the request may reach one more target. */
    private boolean isRepeated() {
        arrivals++;
        return arrivals < request.match().policy().maximumAttempts()
                && hasOther()
                && repeats().tryWithdraw();
    }

    private Response giveUp(GuardReply last) {
        return switch (last) {
            case GuardReply.Ran ran -> answers.delivered(ran.answer(), attempts);
            case GuardReply.NotRun notRun
            when !mayHaveRun -> answers.notRun(notRun.reason(), attempts, returnAfter(notRun.retryAfter()));
            case GuardReply.NotRun notRun -> answers.unknown(HttpStatuses.BAD_GATEWAY, notRun.reason(), attempts);
            case GuardReply.Unknown unknown ->
                answers.unknown(
                        isTimeUp ? HttpStatuses.GATEWAY_TIMEOUT : HttpStatuses.BAD_GATEWAY, unknown.reason(), attempts);
            case GuardReply.Abandoned _ ->
                answers.unknown(HttpStatuses.GATEWAY_TIMEOUT, isClientGone ? "CLIENT_GONE" : "TIMED_OUT", attempts);
        };
    }

    /** Returns when a refused client should come back: when a slot is expected, spread so that not all come at once. */
    private Duration returnAfter(Duration expected) {
        Duration longest = shorter(LONGEST_RETURN, left().dividedBy(3));
        Duration base = expected.compareTo(SHORTEST_RETURN) < 0 ? SHORTEST_RETURN : shorter(expected, longest);
        return Duration.ofNanos(
                (long) (base.toNanos() * (SHORTEST_SPREAD + parts.random().nextDouble())));
    }

    // -- helpers

    private Duration left() {
        return Duration.ofNanos(
                request.deadlineNanoseconds() - parts.nanoseconds().getAsLong());
    }

    private Duration elapsed() {
        long here = parts.nanoseconds().getAsLong() - request.begunNanoseconds();
        return request.waitedBefore().plusNanos(here);
    }

    private WindowedRetryBudget repeats() {
        return parts.repeats().apply(request.service());
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    private void notePlaced(NodeId node) {
        TargetLoadTracker.TargetLoad standing = parts.board().load(node);
        long age = parts.nanoseconds().getAsLong() - standing.reportedNanoseconds();
        parts.decisions()
                .record(new Decision.Placed(
                        request.id(),
                        attempts,
                        routeName(),
                        request.service(),
                        node,
                        request.version(),
                        standing.report(),
                        TimeUnit.NANOSECONDS.toMillis(age),
                        left()));
    }
}
