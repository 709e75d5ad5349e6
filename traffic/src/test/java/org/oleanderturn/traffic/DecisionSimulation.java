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

/** Runs the decisions of some entries and guards against each other in virtual time; one seed, one thread. */
final class DecisionSimulation {
    static final int ENTRIES = 4;
    static final int TARGETS = 6;
    private static final Duration ONE_WAY = Duration.ofMillis(1);
    private static final Duration DEADLINE = Duration.ofSeconds(1);
    private static final double MEAN_MILLISECONDS = 20;
    private static final double CAPACITY = TARGETS * Fixtures.SLOTS / (MEAN_MILLISECONDS / 1e3);
    private static final long FAULT_FROM = Duration.ofSeconds(2).toNanos();
    private static final long FAULT_UNTIL = Duration.ofSeconds(5).toNanos();
    private static final long END = Duration.ofSeconds(7).toNanos();

    /** What is compared; a reserve below zero treats downloads as lookups. */
    record Variant(
            String name,
            boolean isRandom,
            EjectionSettings ejection,
            boolean isHedged,
            boolean isAdaptive,
            int reserve) {}

    /** What befalls the first targets: a slowdown, a share of errors, shedding or thrashing above so many requests. */
    record Fault(int targets, double slowFactor, double errors, int shedAbove, int thrashAbove) {}

    /** The load as a share of capacity; from second two to five its crest, downloads and faults; how often the refused return. */
    record Scenario(String name, double load, double peakLoad, double downloads, Fault fault, int callerRetries) {}

    private final FakeClock clock = new FakeClock();
    private final long start = clock.getAsLong();
    private final Random random;
    private final Variant variant;
    private final Scenario scenario;
    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private final List<Endpoint> endpoints = Fixtures.ready(TARGETS, Fixtures.HOBART);
    private final RoutingTable.Entry entry = Fixtures.entry(RequestKind.LOOKUP, endpoints);
    private final Map<NodeId, AdmissionController> guards = new HashMap<>();
    private final List<Entry> entries;
    private final List<CompletableFuture<Void>> settlings = new ArrayList<>();
    private long order;
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
        while (!queue.isEmpty()) {
            Due due = queue.remove();
            clock.advance(Duration.ofNanos(due.at() - clock.getAsLong()));
            due.action().run();
        }
        settlings.forEach(CompletableFuture::join);
        return this;
    }

    private record Due(long at, long order, Runnable action) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private void after(Duration span, Runnable action) {
        queue.add(new Due(clock.in(span), order++, action));
    }

    private boolean isFaulty() {
        long elapsed = clock.getAsLong() - start;
        return elapsed >= FAULT_FROM && elapsed < FAULT_UNTIL;
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private static Duration milliseconds(double span) {
        return Duration.ofNanos(Math.round(span * 1e6));
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
            List<Endpoint> open = endpoints.stream()
                    .filter(endpoint -> !excluded.contains(endpoint.node()))
                    .toList();
            return open.isEmpty() ? Optional.empty() : Optional.of(open.get(random.nextInt(open.size())));
        }
    }

    private final class Request {
        private final Entry home;
        private final RequestKind kind;
        private final int returns;
        private final long begun = clock.getAsLong();
        private final Map<Integer, Runnable> cancels = new HashMap<>();
        private final Set<NodeId> tried = new HashSet<>();
        private RequestStateMachine progress;

        Request(RequestKind kind, int returns) {
            this.home = entries.get(random.nextInt(ENTRIES));
            this.kind = kind;
            this.returns = returns;
            home.budgets.recordFirstAttempt(entry);
            RequestStateMachine.Transition step =
                    RequestStateMachine.start(home.limits, RetryAllowance.forMaximumAttempts(3), false);
            apply(step);
            if (variant.isHedged() && isLookup()) {
                home.hedging
                        .delay(entry, false)
                        .ifPresent(delay -> after(delay, () -> on(new RequestEvent.HedgeDue())));
            }
            after(deadline(), () -> on(new RequestEvent.DeadlineExceeded()));
        }

        private void on(RequestEvent event) {
            apply(progress.on(event));
        }

        private void apply(RequestStateMachine.Transition step) {
            progress = step.next();
            for (RequestAction action : step.actions()) {
                switch (action) {
                    case RequestAction.Send send -> send(send.attempt());
                    case RequestAction.ScheduleRetry pause ->
                        after(pause.delay(), () -> on(new RequestEvent.RetryDue()));
                    case RequestAction.Deliver deliver -> deliver();
                    case RequestAction.Cancel cancel ->
                        cancels.remove(cancel.attempt()).run();
                    case RequestAction.Reply answer -> giveUp(answer.reply());
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
            return (clock.getAsLong() - begun) / 1e6;
        }

        private void giveUp(LocalReply answer) {
            if (!isLookup()) {
                return;
            }
            if (answer.status() == LocalReply.Status.NOT_RUN && returns > 0) {
                callerRetries++;
                after(answer.retryAfter().get(), () -> new Request(kind, returns - 1));
                return;
            }
            boolean isRefusal = answer.status() == LocalReply.Status.NOT_RUN;
            refused += isRefusal ? 1 : 0;
            failed += isRefusal ? 0 : 1;
        }

        private void send(int number) {
            Optional<Endpoint> chosen = home.choose(tried);
            if (chosen.isEmpty()) {
                AttemptOutcome none = new AttemptOutcome.NotRun(NotRunReason.NO_ENDPOINT, Duration.ofMillis(100));
                cancels.put(number, () -> {});
                after(Duration.ZERO, () -> on(new RequestEvent.AttemptEnded(number, none, remaining())));
                return;
            }
            attempts += isLookup() ? 1 : 0;
            tried.add(chosen.get().node());
            Call call = new Call(this, number, chosen.get());
            cancels.put(number, call::cancel);
            after(ONE_WAY, call::arrive);
        }

        private Duration remaining() {
            return deadline().minusNanos(clock.getAsLong() - begun);
        }
    }

    private final class Call {
        private final Request request;
        private final int number;
        private final Endpoint endpoint;
        private final Attempt attempt;
        private Optional<Permit> permit = Optional.empty();
        private Optional<AdmissionTicket> ticket = Optional.empty();
        private boolean isCancelled;

        Call(Request request, int number, Endpoint endpoint) {
            this.request = request;
            this.number = number;
            this.endpoint = endpoint;
            this.attempt = request.home.statistics.begin(endpoint);
        }

        void arrive() {
            if (isCancelled) {
                return;
            }
            RequestKind kind = variant.reserve() < 0 ? RequestKind.LOOKUP : request.kind;
            AdmissionRequest work =
                    AdmissionRequest.of(kind, clock.in(request.remaining().minus(ONE_WAY)));
            switch (guards.get(endpoint.node()).submit(work)) {
                case AdmissionDecision.Queued queued -> {
                    ticket = Optional.of(queued.ticket());
                    settlings.add(queued.ticket().decision().thenAccept(this::settle));
                }
                case AdmissionDecision.Settled settled -> settle(settled);
            }
        }

        private void settle(AdmissionDecision.Settled settled) {
            switch (settled) {
                case AdmissionDecision.Refused refusal ->
                    answer(new AttemptOutcome.NotRun(refusal.reason(), refusal.retryAfter()));
                case AdmissionDecision.Admitted admitted -> {
                    permit = Optional.of(admitted.permit());
                    Fault fault = scenario.fault();
                    boolean isHit = isFaulty() && endpoints.indexOf(endpoint) < fault.targets();
                    int running = guards.get(endpoint.node()).inFlight();
                    boolean isShed = isHit && running > fault.shedAbove();
                    boolean isError = isHit && random.nextDouble() < fault.errors();
                    double thrash = Math.pow(Math.max(1, (double) running / fault.thrashAbove()), 2);
                    double span = isShed || isError ? 1 : span() * (isHit ? fault.slowFactor() * thrash : 1);
                    after(milliseconds(span), () -> end(isShed, isError));
                }
            }
        }

        private double span() {
            double span = MEAN_MILLISECONDS / 2 + exponential(MEAN_MILLISECONDS / 2);
            boolean isLong = request.kind == RequestKind.DOWNLOAD;
            return span * (isLong ? 50 : random.nextInt(200) == 0 ? 10 : 1);
        }

        private void end(boolean isShed, boolean isError) {
            if (isCancelled) {
                return;
            }
            if (isShed) {
                permit.get().release(RunOutcome.SHED);
                answer(new AttemptOutcome.NotRun(NotRunReason.TARGET_SHED, Duration.ofMillis(100)));
                return;
            }
            permit.get().release(isError ? RunOutcome.FAILED : RunOutcome.SUCCEEDED);
            answer(isError ? new AttemptOutcome.Failed() : new AttemptOutcome.Succeeded());
        }

        private void answer(AttemptOutcome outcome) {
            after(ONE_WAY, () -> {
                if (isCancelled) {
                    return;
                }
                request.home.statistics.finish(attempt, outcome);
                if (request.isLookup() && outcome instanceof AttemptOutcome.Succeeded) {
                    request.home.hedging.recordLatency(entry.service().name(), milliseconds(request.elapsed()));
                }
                request.cancels.remove(number);
                request.on(new RequestEvent.AttemptEnded(number, outcome, request.remaining()));
            });
        }

        private void cancel() {
            isCancelled = true;
            request.home.statistics.finish(attempt, new AttemptOutcome.Cancelled());
            ticket.ifPresent(AdmissionTicket::cancel);
            permit.ifPresent(held -> held.release(RunOutcome.CANCELLED));
        }
    }
}
