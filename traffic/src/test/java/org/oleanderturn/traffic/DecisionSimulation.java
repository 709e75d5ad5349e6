package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.RoutingTable;

/** Simulates several entries and guards in virtual time, on one thread and reproducibly from a seed. */
final class DecisionSimulation {
    static final int ENTRIES = 4;
    static final int TARGETS = 6;
    private static final Duration ONE_WAY_LATENCY = Duration.ofMillis(1);
    private static final Duration DEADLINE = Duration.ofSeconds(1);
    private static final double MEAN_SERVICE_MILLISECONDS = 20;
    private static final double CAPACITY = TARGETS * Fixtures.SLOTS / (MEAN_SERVICE_MILLISECONDS / 1e3);
    private static final long FAULT_FROM = Duration.ofSeconds(2).toNanos();
    private static final long FAULT_UNTIL = Duration.ofSeconds(5).toNanos();
    private static final long END = Duration.ofSeconds(7).toNanos();

    /** A configuration to compare; with a negative reserve, downloads are treated as lookups. */
    record Variant(
            String name,
            boolean isRandom,
            EjectionSettings ejection,
            boolean isHedged,
            boolean isAdaptive,
            int reserve) {}

    /**
     * A fault of the first targets: a slowdown, a share of errors, and load shedding or thrashing above a number of
     * requests in flight.
     */
    record Fault(int targets, double slowFactor, double errors, int shedAbove, int thrashAbove) {}

    /**
     * The load as a fraction of capacity; from second two to five its peak, its share of downloads and the fault; how
     * often a refused caller retries.
     */
    record Scenario(String name, double load, double peakLoad, double downloads, Fault fault, int callerRetries) {}

    private final FakeClock clock = new FakeClock();
    private final long start = clock.getAsLong();
    private final Random random;
    private final Variant variant;
    private final Scenario scenario;
    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
    private final List<Endpoint> endpoints = Fixtures.ready(TARGETS, Fixtures.HOBART);
    private final RoutingTable.Entry entry = Fixtures.entry(RequestKind.LOOKUP, endpoints);
    private final Map<NodeId, AdmissionController> guards = new HashMap<>();
    private final List<Entry> entries;
    private final List<CompletableFuture<Void>> pendingDecisions = new ArrayList<>();
    private long sequence;
    final List<Double> latencies = new ArrayList<>();
    int requests;
    int attempts;
    int refused;
    int failed;
    int callerRetries;

    DecisionSimulation(Variant variant, Scenario scenario, long seed) {
        this.variant = variant;
        this.scenario = scenario;
        this.random = new Random(seed);
        AdmissionLimits limits = AdmissionLimits.of(Fixtures.SLOTS, 20, Math.max(0, variant.reserve()));
        endpoints.forEach(endpoint -> guards.put(
                endpoint.node(),
                AdmissionController.of(variant.isAdaptive() ? limits : limits.withFixedConcurrency(), clock, random)));
        this.entries =
                IntStream.range(0, ENTRIES).mapToObj(number -> new Entry()).toList();
    }

    DecisionSimulation run() {
        arrive();
        while (!tasks.isEmpty()) {
            ScheduledTask task = tasks.remove();
            clock.advance(Duration.ofNanos(task.at() - clock.getAsLong()));
            task.action().run();
        }
        pendingDecisions.forEach(CompletableFuture::join);
        return this;
    }

    private record ScheduledTask(long at, long sequence, Runnable action) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private void after(Duration duration, Runnable action) {
        tasks.add(new ScheduledTask(clock.after(duration), sequence++, action));
    }

    private boolean isFaulty() {
        long elapsed = clock.getAsLong() - start;
        return elapsed >= FAULT_FROM && elapsed < FAULT_UNTIL;
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private static Duration milliseconds(double duration) {
        return Duration.ofNanos(Math.round(duration * 1e6));
    }

    private void arrive() {
        if (clock.getAsLong() - start >= END) {
            return;
        }
        boolean isDownload = isFaulty() && random.nextDouble() < scenario.downloads();
        RequestKind kind = isDownload ? RequestKind.DOWNLOAD : RequestKind.LOOKUP;
        requests += isDownload ? 0 : 1;
        new Request(kind, scenario.callerRetries());
        double load = isFaulty() ? scenario.peakLoad() : scenario.load();
        after(milliseconds(exponential(1e3 / (CAPACITY * load))), this::arrive);
    }

    private final class Entry {
        private final OutlierEjection ejection = OutlierEjection.of(variant.ejection());
        private final UpstreamStatistics statistics = UpstreamStatistics.of(ejection, clock);
        private final TwoChoicesBalancer balancer = TwoChoicesBalancer.of(statistics, ejection, clock, random);
        private final RouteBudgets budgets = RouteBudgets.empty();
        private final HedgePolicy hedging = HedgePolicy.of(clock);
        private final AttemptLimits limits = AttemptLimits.of(entry, RetryPolicy.of(random), budgets);

        Optional<Endpoint> choose(Set<NodeId> excluded) {
            if (!variant.isRandom()) {
                return balancer.choose(entry, Fixtures.HOBART, excluded);
            }
            List<Endpoint> candidates = endpoints.stream()
                    .filter(endpoint -> !excluded.contains(endpoint.node()))
                    .toList();
            return candidates.isEmpty()
                    ? Optional.empty()
                    : Optional.of(candidates.get(random.nextInt(candidates.size())));
        }
    }

    private final class Request {
        private final Entry origin;
        private final RequestKind kind;
        private final int retriesLeft;
        private final long startNanoseconds = clock.getAsLong();
        private final Map<Integer, Runnable> cancellations = new HashMap<>();
        private final Set<NodeId> tried = new HashSet<>();
        private RequestStateMachine state;

        Request(RequestKind kind, int retriesLeft) {
            this.origin = entries.get(random.nextInt(ENTRIES));
            this.kind = kind;
            this.retriesLeft = retriesLeft;
            origin.budgets.recordFirstAttempt(entry);
            RequestStateMachine.Transition transition =
                    RequestStateMachine.start(origin.limits, RetryAllowance.forMaximumAttempts(3), false);
            perform(transition);
            if (variant.isHedged() && isLookup()) {
                origin.hedging
                        .delay(entry, false)
                        .ifPresent(delay -> after(delay, () -> on(new RequestEvent.HedgeDue())));
            }
            after(deadline(), () -> on(new RequestEvent.DeadlineExceeded()));
        }

        private void on(RequestEvent event) {
            perform(state.on(event));
        }

        private void perform(RequestStateMachine.Transition transition) {
            state = transition.next();
            for (RequestAction action : transition.actions()) {
                switch (action) {
                    case RequestAction.Send send -> send(send.attempt());
                    case RequestAction.ScheduleRetry scheduled ->
                        after(scheduled.delay(), () -> on(new RequestEvent.RetryDue()));
                    case RequestAction.Deliver deliver -> deliver();
                    case RequestAction.Cancel cancel ->
                        cancellations.remove(cancel.attempt()).run();
                    case RequestAction.Reply reply -> giveUp(reply.reply());
                }
            }
        }

        private void deliver() {
            if (isLookup()) {
                latencies.add(elapsed());
            }
        }

        private boolean isLookup() {
            return kind == RequestKind.LOOKUP;
        }

        private Duration deadline() {
            return isLookup() ? DEADLINE : DEADLINE.multipliedBy(10);
        }

        private double elapsed() {
            return (clock.getAsLong() - startNanoseconds) / 1e6;
        }

        private void giveUp(LocalReply reply) {
            if (!isLookup()) {
                return;
            }
            if (reply.status() == LocalReply.Status.NOT_RUN && retriesLeft > 0) {
                callerRetries++;
                after(reply.retryAfter().get(), () -> new Request(kind, retriesLeft - 1));
                return;
            }
            boolean isNotRun = reply.status() == LocalReply.Status.NOT_RUN;
            refused += isNotRun ? 1 : 0;
            failed += isNotRun ? 0 : 1;
        }

        private void send(int number) {
            Optional<Endpoint> chosen = origin.choose(tried);
            if (chosen.isEmpty()) {
                AttemptOutcome noEndpoint = new AttemptOutcome.NotRun(NotRunReason.NO_ENDPOINT, Duration.ofMillis(100));
                cancellations.put(number, () -> {});
                after(Duration.ZERO, () -> on(new RequestEvent.AttemptEnded(number, noEndpoint, remaining())));
                return;
            }
            attempts += isLookup() ? 1 : 0;
            tried.add(chosen.get().node());
            GuardCall call = new GuardCall(this, number, chosen.get());
            cancellations.put(number, call::cancel);
            after(ONE_WAY_LATENCY, call::arrive);
        }

        private Duration remaining() {
            return deadline().minusNanos(clock.getAsLong() - startNanoseconds);
        }
    }

    private final class GuardCall {
        private final Request request;
        private final int number;
        private final Endpoint endpoint;
        private final Attempt attempt;
        private Optional<Permit> permit = Optional.empty();
        private Optional<AdmissionTicket> ticket = Optional.empty();
        private boolean isCancelled;

        GuardCall(Request request, int number, Endpoint endpoint) {
            this.request = request;
            this.number = number;
            this.endpoint = endpoint;
            this.attempt = request.origin.statistics.begin(endpoint);
        }

        void arrive() {
            if (isCancelled) {
                return;
            }
            RequestKind kind = variant.reserve() < 0 ? RequestKind.LOOKUP : request.kind;
            AdmissionRequest admission =
                    AdmissionRequest.of(kind, clock.after(request.remaining().minus(ONE_WAY_LATENCY)));
            switch (guards.get(endpoint.node()).submit(admission)) {
                case AdmissionDecision.Queued queued -> {
                    ticket = Optional.of(queued.ticket());
                    pendingDecisions.add(queued.ticket().decision().thenAccept(this::settle));
                }
                case AdmissionDecision.Settled settled -> settle(settled);
            }
        }

        private void settle(AdmissionDecision.Settled settled) {
            switch (settled) {
                case AdmissionDecision.Refused refusal ->
                    respond(new AttemptOutcome.NotRun(refusal.reason(), refusal.retryAfter()));
                case AdmissionDecision.Admitted admitted -> {
                    permit = Optional.of(admitted.permit());
                    Fault fault = scenario.fault();
                    boolean isAffected = isFaulty() && endpoints.indexOf(endpoint) < fault.targets();
                    int running = guards.get(endpoint.node()).inFlight();
                    boolean isShed = isAffected && running > fault.shedAbove();
                    boolean isError = isAffected && random.nextDouble() < fault.errors();
                    double thrashFactor = Math.pow(Math.max(1, (double) running / fault.thrashAbove()), 2);
                    double milliseconds = isShed || isError
                            ? 1
                            : serviceMilliseconds() * (isAffected ? fault.slowFactor() * thrashFactor : 1);
                    after(milliseconds(milliseconds), () -> end(isShed, isError));
                }
            }
        }

        private double serviceMilliseconds() {
            double base = MEAN_SERVICE_MILLISECONDS / 2 + exponential(MEAN_SERVICE_MILLISECONDS / 2);
            boolean isLong = request.kind == RequestKind.DOWNLOAD;
            return base * (isLong ? 50 : random.nextInt(200) == 0 ? 10 : 1);
        }

        private void end(boolean isShed, boolean isError) {
            if (isCancelled) {
                return;
            }
            if (isShed) {
                permit.get().release(RunOutcome.SHED);
                respond(new AttemptOutcome.NotRun(NotRunReason.TARGET_SHED, Duration.ofMillis(100)));
                return;
            }
            permit.get().release(isError ? RunOutcome.FAILED : RunOutcome.SUCCEEDED);
            respond(isError ? new AttemptOutcome.Failed() : new AttemptOutcome.Succeeded());
        }

        private void respond(AttemptOutcome outcome) {
            after(ONE_WAY_LATENCY, () -> {
                if (isCancelled) {
                    return;
                }
                request.origin.statistics.finish(attempt, outcome);
                if (request.isLookup() && outcome instanceof AttemptOutcome.Succeeded) {
                    request.origin.hedging.recordLatency(entry.service().name(), milliseconds(request.elapsed()));
                }
                request.cancellations.remove(number);
                request.on(new RequestEvent.AttemptEnded(number, outcome, request.remaining()));
            });
        }

        private void cancel() {
            isCancelled = true;
            request.origin.statistics.finish(attempt, new AttemptOutcome.Cancelled());
            ticket.ifPresent(AdmissionTicket::cancel);
            permit.ifPresent(current -> current.release(RunOutcome.CANCELLED));
        }
    }
}
