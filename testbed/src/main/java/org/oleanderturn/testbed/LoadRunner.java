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
 * Starts requests at a fixed rate, whether or not earlier ones have ended.
 *
 * <p>Invariant: a request's latency is measured from its scheduled time, so that delays of the sender count. Thread safe.
 */
public final class LoadRunner {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int PERCENT = 100;
    private static final long NANOSECONDS_PER_SECOND = 1_000_000_000;
    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
    private static final long NANOSECONDS_PER_MICROSECOND = 1_000;
    private static final long STOP_CHECK_MILLISECONDS = 100;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 60;

    private final LoadPlan plan;
    private final LoadRecorder recorder = new LoadRecorder();
    private final AtomicBoolean isStopped = new AtomicBoolean();

    private LoadRunner(LoadPlan plan) {
        this.plan = plan;
    }

    /** Returns a runner for one run of the plan. */
    public static LoadRunner of(LoadPlan plan) {
        Objects.requireNonNull(plan, "plan is null");
        return new LoadRunner(plan);
    }

    // -- commands

    /** Runs the schedule, waits until the started requests have ended, at most a minute, and returns their results. */
    public LoadReport run() {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(plan.seed());
        long startNanoseconds = System.nanoTime();
        long intervalNanoseconds = NANOSECONDS_PER_SECOND / plan.requestsPerSecond();
        long count = plan.durationMilliseconds() * NANOSECONDS_PER_MILLISECOND / intervalNanoseconds;
        ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
        for (long sequence = 0; sequence < count; sequence++) {
            long dueNanoseconds = startNanoseconds + sequence * intervalNanoseconds;
            if (!waitUntil(dueNanoseconds)) {
                break;
            }
            LoadKind kind = plan.kindOf(random.nextInt(PERCENT));
            int firstEntry = random.nextInt(plan.entries().size());
            LoadRequest request = new LoadRequest(kind, plan.keyPrefix() + "-" + sequence, firstEntry, dueNanoseconds);
            recorder.recordStart();
            executor.execute(() -> sendWithRetries(request));
        }
        awaitRequests(executor);
        return recorder.report();
    }

    /** Ends the schedule early; requests that were started continue. */
    public void stop() {
        isStopped.set(true);
    }

    // -- one request

    private void sendWithRetries(LoadRequest request) {
        LoadRetryPolicy retryPolicy = LoadRetryPolicy.of(request.kind(), plan.patienceMilliseconds());
        for (int retries = 0; ; retries++) {
            Address entry = plan.entries()
                    .get((request.firstEntry() + retries) % plan.entries().size());
            long versionBefore = recorder.newestVersionOf(entry);
            LoadAttempt attempt = LoadClient.send(entry, plan.pathOf(request.kind()), request.bookingKey());
            recorder.recordAttempt(entry, attempt, versionBefore);
            long elapsedNanoseconds = System.nanoTime() - request.dueNanoseconds();
            LoadStep step = retryPolicy.next(attempt, elapsedNanoseconds / NANOSECONDS_PER_MILLISECOND);
            if (step instanceof LoadStep.End end) {
                recorder.recordEnd(
                        request, end.outcome(), entry, attempt, elapsedNanoseconds / NANOSECONDS_PER_MICROSECOND);
                return;
            }
            recorder.recordRetry();
            pause(((LoadStep.Retry) step).waitMilliseconds());
        }
    }

    // -- time

    private boolean waitUntil(long dueNanoseconds) {
        while (!isStopped.get()) {
            long remainingNanoseconds = dueNanoseconds - System.nanoTime();
            if (remainingNanoseconds <= 0) {
                return true;
            }
            pause(Math.min(STOP_CHECK_MILLISECONDS, Math.ceilDiv(remainingNanoseconds, NANOSECONDS_PER_MILLISECOND)));
        }
        return false;
    }

    private static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupt) {
            log.atFinest().log("sleep was interrupted");
        }
    }

    private static void awaitRequests(ExecutorService executor) {
        executor.shutdown();
        try {
            if (!executor.awaitTermination(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                executor.shutdownNow();
            }
        } catch (InterruptedException interrupt) {
            executor.shutdownNow();
        }
    }
}
