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
 * Carries one request through its attempts: performs what {@link RequestStateMachine} decides and tells it what happens.
 *
 * <p>Invariant: every answer that was received and is not delivered is closed. Events may come from any thread; the rest
 * runs on the thread of {@link #run}.
 */
final class RequestCourse {
    private static final Duration NO_ENDPOINT_RETRY_AFTER = Duration.ofSeconds(1);

    private final CourseRequest request;
    private final EntryParts parts;
    private final LinkedBlockingQueue<Signal> signals = new LinkedBlockingQueue<>();
    private final Map<Integer, AttemptTask> tasks = new HashMap<>();
    private final Map<Integer, AttemptAnswer> answers = new HashMap<>();
    private final Set<NodeId> tried = new HashSet<>();
    private final Timers timers;
    private final AtomicBoolean isFinished = new AtomicBoolean();
    private RequestStateMachine progress;
    private NotRunReason lastReason = NotRunReason.NO_ENDPOINT;
    private Optional<Answer> lastFailure = Optional.empty();
    private Optional<CourseResult> result = Optional.empty();

    RequestCourse(CourseRequest request, EntryParts parts) {
        this.request = Objects.requireNonNull(request, "request is null");
        this.parts = Objects.requireNonNull(parts, "parts is null");
        this.timers = new Timers(request.deadline().deadlineNanoseconds());
    }

    /** Something that the course is told. */
    private sealed interface Signal {
        record Came(RequestEvent event) implements Signal {}

        record AttemptDone(int attempt, AttemptTask.Result result) implements Signal {}
    }

    /** Tells that nobody waits for the answer any more. */
    void callerGone() {
        deliver(new Signal.Came(new RequestEvent.CallerCancelled()));
    }

    /** Runs the request to its end; blocks. */
    CourseResult run() {
        long begun = parts.nanoseconds().getAsLong();
        boolean isSuspect = parts.quarantine().status(request.fingerprint()) instanceof QuarantineStatus.Suspect;
        AttemptLimits limits = AttemptLimits.of(request.entry(), parts.retries(), parts.budgets());
        parts.budgets().recordFirstAttempt(request.entry());
        parts.hedges().delay(request.entry(), isSuspect).ifPresent(delay -> timers.hedge = begun + delay.toNanos());
        take(RequestStateMachine.start(limits, request.allowance(), isSuspect));
        while (result.isEmpty()) {
            handle(next());
        }
        observe(begun);
        closeRest();
        return result.get();
    }

    // -- events

    private Signal next() {
        long now = parts.nanoseconds().getAsLong();
        Optional<RequestEvent> due = timers.due(now);
        if (due.isPresent()) {
            return new Signal.Came(due.get());
        }
        try {
            Signal signal = signals.poll(timers.nextNanoseconds() - now, TimeUnit.NANOSECONDS);
            return signal == null ? next() : signal;
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
            return new Signal.Came(new RequestEvent.CallerCancelled());
        }
    }

    private void handle(Signal signal) {
        switch (signal) {
            case Signal.Came came -> take(progress.on(came.event()));
            case Signal.AttemptDone done -> attemptDone(done);
        }
    }

    private void attemptDone(Signal.AttemptDone done) {
        switch (done.result()) {
            case AttemptTask.Result.Answering answering -> {
                answers.put(done.attempt(), answering.answer());
                take(progress.on(new RequestEvent.ResponseStarted(done.attempt())));
            }
            case AttemptTask.Result.Ended ended -> {
                note(ended);
                take(progress.on(new RequestEvent.AttemptEnded(
                        done.attempt(), ended.outcome(), request.deadline().remaining())));
            }
        }
    }

    private void note(AttemptTask.Result.Ended ended) {
        ended.failure().ifPresent(failure -> lastFailure = Optional.of(failure));
        switch (ended.outcome()) {
            case AttemptOutcome.NotRun notRun -> lastReason = notRun.reason();
            case AttemptOutcome.TargetCrashed _ -> parts.quarantine().markSuspect(request.fingerprint());
            case AttemptOutcome.Succeeded _,
                    AttemptOutcome.Failed _,
                    AttemptOutcome.Unknown _,
                    AttemptOutcome.ResponseTruncated _,
                    AttemptOutcome.Cancelled _ -> {}
        }
    }

    // -- actions

    private void take(RequestStateMachine.Transition step) {
        progress = step.next();
        step.actions().forEach(this::perform);
    }

    private void perform(RequestAction action) {
        switch (action) {
            case RequestAction.Send send -> send(send);
            case RequestAction.ScheduleRetry pause ->
                timers.retry = parts.nanoseconds().getAsLong() + pause.delay().toNanos();
            case RequestAction.Deliver deliver ->
                result = Optional.of(new CourseResult.Delivered(answers.remove(deliver.attempt())));
            case RequestAction.Cancel cancel -> cancel(cancel.attempt());
            case RequestAction.Answer answer ->
                result = Optional.of(new CourseResult.GivenUp(answer.reply(), lastReason, lastFailure));
        }
    }

    private void send(RequestAction.Send send) {
        Optional<Endpoint> endpoint = parts.balancer().choose(request.entry(), parts.locality(), Set.copyOf(tried));
        if (endpoint.isEmpty()) {
            AttemptOutcome none = new AttemptOutcome.NotRun(NotRunReason.NO_ENDPOINT, NO_ENDPOINT_RETRY_AFTER);
            signals.add(new Signal.AttemptDone(send.attempt(), new AttemptTask.Result.Ended(none, Optional.empty())));
            return;
        }
        tried.add(endpoint.get().node());
        AttemptTask task = new AttemptTask(request, send, endpoint.get(), parts);
        tasks.put(send.attempt(), task);
        parts.executor().execute(() -> deliver(new Signal.AttemptDone(send.attempt(), task.run())));
    }

    private void cancel(int attempt) {
        AttemptTask task = tasks.get(attempt);
        if (task != null) {
            task.cancel();
        }
    }

    // -- end

    private void observe(long begun) {
        if (result.get() instanceof CourseResult.Delivered) {
            Duration latency = Duration.ofNanos(parts.nanoseconds().getAsLong() - begun);
            parts.hedges().recordLatency(request.entry().service().name(), latency);
        }
    }

    /** Closes the answers that are not delivered; those that are still to come are closed as they come. */
    private void closeRest() {
        answers.values().forEach(AttemptAnswer::close);
        isFinished.set(true);
        closeLate();
    }

    private void deliver(Signal signal) {
        signals.add(signal);
        if (isFinished.get()) {
            closeLate();
        }
    }

    private void closeLate() {
        Signal late = signals.poll();
        while (late != null) {
            if (late instanceof Signal.AttemptDone(int _, AttemptTask.Result.Answering answering)) {
                answering.answer().close();
            }
            late = signals.poll();
        }
    }

    /** The moments at which something is due; {@link Long#MAX_VALUE} for never. */
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
