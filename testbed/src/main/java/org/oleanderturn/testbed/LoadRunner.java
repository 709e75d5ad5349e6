package org.oleanderturn.testbed;

import com.google.common.flogger.FluentLogger;
import java.util.Objects;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.oleanderturn.model.Address;

/**
 * Sends requests on schedule, whether or not earlier ones have ended.
 *
 * <p>Invariant: a request's latency counts from its scheduled time. Thread safe.
 */
public final class LoadRunner {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int HUNDRED = 100;
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000;
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
    private static final long NANOSECONDS_PER_MICROSECOND = 1_000;
    private static final long LONGEST_PAUSE_MILLISECONDS = 100;
    private static final long END_WAIT_SECONDS = 60;

    private final LoadPlan plan;
    private final LoadRecorder recorder = new LoadRecorder();
    private final AtomicBoolean isStopped = new AtomicBoolean();

    private LoadRunner(LoadPlan plan) {
        this.plan = plan;
    }

    /** Returns a runner of the plan. */
    public static LoadRunner of(LoadPlan plan) {
        Objects.requireNonNull(plan, "plan is null");
        return new LoadRunner(plan);
    }

    // -- commands

    /** Runs the whole schedule, waits until every request has ended and returns what became of them. */
    public LoadReport run() {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(plan.seed());
        long start = System.nanoTime();
        long gap = NANOSECONDS_PER_SECOND / plan.requestsPerSecond();
        long count = plan.durationMilliseconds() * NANOSECONDS_PER_MILLISECOND / gap;
        ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
        for (long sequence = 0; sequence < count; sequence++) {
            long due = start + sequence * gap;
            if (!waitUntil(due)) {
                break;
            }
            LoadKind kind = plan.kindOf(random.nextInt(HUNDRED));
            int entry = random.nextInt(plan.entries().size());
            LoadRequest request = new LoadRequest(kind, plan.keyPrefix() + "-" + sequence, entry, due);
            recorder.begin();
            executor.execute(() -> follow(request));
        }
        awaitEnds(executor);
        return recorder.report();
    }

    /** Ends the schedule early; requests that are under way go on to their end. */
    public void stop() {
        isStopped.set(true);
    }

    // -- one request

    private void follow(LoadRequest request) {
        LoadCourse course = LoadCourse.of(request.kind(), plan.patienceMilliseconds());
        for (int sending = 0; ; sending++) {
            Address entry = plan.entries()
                    .get((request.firstEntry() + sending) % plan.entries().size());
            long versionBefore = recorder.versionOf(entry);
            LoadAttempt attempt = LoadClient.send(entry, plan.pathOf(request.kind()), request.bookingKey());
            recorder.attempt(entry, attempt, versionBefore);
            long passed = System.nanoTime() - request.dueNanoseconds();
            LoadStep step = course.next(attempt, passed / NANOSECONDS_PER_MILLISECOND);
            if (step instanceof LoadStep.End end) {
                recorder.end(request, end.outcome(), entry, attempt, passed / NANOSECONDS_PER_MICROSECOND);
                return;
            }
            recorder.resend();
            pause(((LoadStep.Again) step).waitMilliseconds());
        }
    }

    // -- time

    private boolean waitUntil(long dueNanoseconds) {
        while (!isStopped.get()) {
            long left = dueNanoseconds - System.nanoTime();
            if (left <= 0) {
                return true;
            }
            pause(Math.min(LONGEST_PAUSE_MILLISECONDS, Math.ceilDiv(left, NANOSECONDS_PER_MILLISECOND)));
        }
        return false;
    }

    private static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupt) {
            log.atFinest().log("a pause ended early");
        }
    }

    private static void awaitEnds(ExecutorService executor) {
        executor.shutdown();
        try {
            if (!executor.awaitTermination(END_WAIT_SECONDS, TimeUnit.SECONDS)) {
                executor.shutdownNow();
            }
        } catch (InterruptedException interrupt) {
            executor.shutdownNow();
        }
    }
}
