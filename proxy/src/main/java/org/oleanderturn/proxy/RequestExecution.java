package org.oleanderturn.proxy;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.traffic.AttemptLimits;
import org.oleanderturn.traffic.AttemptOutcome;
import org.oleanderturn.traffic.NotRunReason;
import org.oleanderturn.traffic.QuarantineStatus;
import org.oleanderturn.traffic.RequestAction;
import org.oleanderturn.traffic.RequestEvent;
import org.oleanderturn.traffic.RequestStateMachine;

/**
 * Executes one request: performs the actions that {@link RequestStateMachine} decides on and reports events back to it.
 *
 * <p>Invariant: every response that was received and is not returned is closed. {@link #callerDisconnected} and the
 * attempts may report from any thread; everything else runs on the thread that calls {@link #run}.
 */
final class RequestExecution {
    private static final Duration NO_ENDPOINT_RETRY_AFTER = Duration.ofSeconds(1);

    private final RoutedRequest request;
    private final EntryDependencies dependencies;
    private final LinkedBlockingQueue<Signal> signals = new LinkedBlockingQueue<>();
    private final Map<Integer, AttemptTask> tasks = new HashMap<>();
    private final Map<Integer, AttemptResponse> responses = new HashMap<>();
    private final Set<NodeId> triedNodes = new HashSet<>();
    private final Timers timers;
    private final AtomicBoolean isFinished = new AtomicBoolean();
    private RequestStateMachine stateMachine;
    private NotRunReason lastNotRunReason = NotRunReason.NO_ENDPOINT;
    private Optional<Response> lastFailureResponse = Optional.empty();
    private Optional<ExecutionResult> result = Optional.empty();

    RequestExecution(RoutedRequest request, EntryDependencies dependencies) {
        this.request = Objects.requireNonNull(request, "request is null");
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies is null");
        this.timers = new Timers(request.deadline().deadlineNanoseconds());
    }

    /** A message to the thread that executes the request. */
    private sealed interface Signal {
        record EventOccurred(RequestEvent event) implements Signal {}

        record AttemptFinished(int attempt, AttemptTask.Result result) implements Signal {}
    }

    /** Reports that the caller no longer waits for the response. */
    void callerDisconnected() {
        enqueue(new Signal.EventOccurred(new RequestEvent.CallerCancelled()));
    }

    /** Executes the request; blocks until a response has started or the request is given up. */
    ExecutionResult run() {
        long startNanoseconds = dependencies.clock().getAsLong();
        boolean isSuspect = dependencies.quarantine().status(request.fingerprint()) instanceof QuarantineStatus.Suspect;
        AttemptLimits limits =
                AttemptLimits.of(request.routingEntry(), dependencies.retryPolicy(), dependencies.routeBudgets());
        dependencies.routeBudgets().recordFirstAttempt(request.routingEntry());
        dependencies
                .hedgePolicy()
                .delay(request.routingEntry(), isSuspect)
                .ifPresent(delay -> timers.hedge = startNanoseconds + delay.toNanos());
        apply(RequestStateMachine.start(limits, request.retryAllowance(), isSuspect));
        while (result.isEmpty()) {
            handle(nextSignal());
        }
        recordLatency(startNanoseconds);
        closeUnusedResponses();
        return result.get();
    }

    // -- events

    private Signal nextSignal() {
        long now = dependencies.clock().getAsLong();
        Optional<RequestEvent> due = timers.due(now);
        if (due.isPresent()) {
            return new Signal.EventOccurred(due.get());
        }
        try {
            Signal signal = signals.poll(timers.nextNanoseconds() - now, TimeUnit.NANOSECONDS);
            return signal == null ? nextSignal() : signal;
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
            return new Signal.EventOccurred(new RequestEvent.CallerCancelled());
        }
    }

    private void handle(Signal signal) {
        switch (signal) {
            case Signal.EventOccurred occurred -> apply(stateMachine.on(occurred.event()));
            case Signal.AttemptFinished finished -> handleFinishedAttempt(finished);
        }
    }

    private void handleFinishedAttempt(Signal.AttemptFinished finished) {
        switch (finished.result()) {
            case AttemptTask.Result.ResponseStarted started -> {
                responses.put(finished.attempt(), started.response());
                apply(stateMachine.on(new RequestEvent.ResponseStarted(finished.attempt())));
            }
            case AttemptTask.Result.Ended ended -> {
                recordOutcome(ended);
                apply(stateMachine.on(new RequestEvent.AttemptEnded(
                        finished.attempt(), ended.outcome(), request.deadline().remaining())));
            }
        }
    }

    private void recordOutcome(AttemptTask.Result.Ended ended) {
        ended.failureResponse().ifPresent(failure -> lastFailureResponse = Optional.of(failure));
        switch (ended.outcome()) {
            case AttemptOutcome.NotRun notRun -> lastNotRunReason = notRun.reason();
            case AttemptOutcome.TargetCrashed _ -> dependencies.quarantine().markSuspect(request.fingerprint());
            case AttemptOutcome.Succeeded _,
                    AttemptOutcome.Failed _,
                    AttemptOutcome.Unknown _,
                    AttemptOutcome.ResponseTruncated _,
                    AttemptOutcome.Cancelled _ -> {}
        }
    }

    // -- actions

    private void apply(RequestStateMachine.Transition transition) {
        stateMachine = transition.next();
        transition.actions().forEach(this::perform);
    }

    private void perform(RequestAction action) {
        switch (action) {
            case RequestAction.Send send -> send(send);
            case RequestAction.ScheduleRetry schedule ->
                timers.retry =
                        dependencies.clock().getAsLong() + schedule.delay().toNanos();
            case RequestAction.Deliver deliver ->
                result = Optional.of(new ExecutionResult.Responded(responses.remove(deliver.attempt())));
            case RequestAction.Cancel cancel -> cancel(cancel.attempt());
            case RequestAction.Reply giveUp ->
                result =
                        Optional.of(new ExecutionResult.GivenUp(giveUp.reply(), lastNotRunReason, lastFailureResponse));
        }
    }

    private void send(RequestAction.Send send) {
        Optional<Endpoint> endpoint =
                dependencies.balancer().choose(request.routingEntry(), dependencies.locality(), Set.copyOf(triedNodes));
        if (endpoint.isEmpty()) {
            AttemptOutcome noEndpoint = new AttemptOutcome.NotRun(NotRunReason.NO_ENDPOINT, NO_ENDPOINT_RETRY_AFTER);
            signals.add(new Signal.AttemptFinished(
                    send.attempt(), new AttemptTask.Result.Ended(noEndpoint, Optional.empty())));
            return;
        }
        triedNodes.add(endpoint.get().node());
        AttemptTask task = new AttemptTask(request, send, endpoint.get(), dependencies);
        tasks.put(send.attempt(), task);
        dependencies.executor().execute(() -> enqueue(new Signal.AttemptFinished(send.attempt(), task.run())));
    }

    private void cancel(int attempt) {
        AttemptTask task = tasks.get(attempt);
        if (task != null) {
            task.cancel();
        }
    }

    // -- end

    private void recordLatency(long startNanoseconds) {
        if (result.get() instanceof ExecutionResult.Responded) {
            Duration latency = Duration.ofNanos(dependencies.clock().getAsLong() - startNanoseconds);
            dependencies
                    .hedgePolicy()
                    .recordLatency(request.routingEntry().service().name(), latency);
        }
    }

    /** Closes the responses that are not returned; later ones are closed when they arrive. */
    private void closeUnusedResponses() {
        responses.values().forEach(AttemptResponse::close);
        isFinished.set(true);
        closeQueuedResponses();
    }

    private void enqueue(Signal signal) {
        signals.add(signal);
        if (isFinished.get()) {
            closeQueuedResponses();
        }
    }

    private void closeQueuedResponses() {
        Signal queued = signals.poll();
        while (queued != null) {
            if (queued instanceof Signal.AttemptFinished(int _, AttemptTask.Result.ResponseStarted started)) {
                started.response().close();
            }
            queued = signals.poll();
        }
    }

    /** When each timer fires, in nanoseconds of the monotonic clock; {@link Long#MAX_VALUE} if it is not set. */
    private static final class Timers {
        private final long deadline;
        private long hedge = Long.MAX_VALUE;
        private long retry = Long.MAX_VALUE;

        Timers(long deadline) {
            this.deadline = deadline;
        }

        Optional<RequestEvent> due(long now) {
            if (now >= deadline) {
                return Optional.of(new RequestEvent.DeadlineExceeded());
            }
            if (now >= retry) {
                retry = Long.MAX_VALUE;
                return Optional.of(new RequestEvent.RetryDue());
            }
            if (now >= hedge) {
                hedge = Long.MAX_VALUE;
                return Optional.of(new RequestEvent.HedgeDue());
            }
            return Optional.empty();
        }

        long nextNanoseconds() {
            return Math.min(deadline, Math.min(hedge, retry));
        }
    }
}
