package org.oleanderturn.testbed;

import java.util.Objects;

/**
 * Decides after each attempt of one request whether the request ends or is retried.
 *
 * <p>A request is retried when its last attempt certainly did not run. A booking is also retried when that is unknown,
 * because its idempotency key prevents a second run. Invariant: {@link LoadOutcome#REFUSED_NOT_RUN} is returned only
 * when no attempt can have run. Holds the state of one request; not thread safe.
 */
public final class LoadRetryPolicy {
    private static final long NOT_SENT_WAIT_MILLISECONDS = 20;
    private static final long UNKNOWN_WAIT_MILLISECONDS = 200;
    private static final long REFUSED_WAIT_MILLISECONDS = 100;
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECTION = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    private final LoadKind kind;
    private final long patienceMilliseconds;
    private boolean mayHaveRun;

    private LoadRetryPolicy(LoadKind kind, long patienceMilliseconds) {
        this.kind = kind;
        this.patienceMilliseconds = patienceMilliseconds;
    }

    /**
     * Returns the policy for a request that has not been sent yet.
     *
     * @param patienceMilliseconds how long after its scheduled time the request is still retried
     */
    public static LoadRetryPolicy of(LoadKind kind, long patienceMilliseconds) {
        Objects.requireNonNull(kind, "kind is null");
        return new LoadRetryPolicy(kind, patienceMilliseconds);
    }

    // -- core operations

    /**
     * Returns whether to retry or to end after the given attempt, and records whether that attempt may have run.
     *
     * @param elapsedMilliseconds the time since the scheduled time of the request
     */
    public LoadStep next(LoadAttempt attempt, long elapsedMilliseconds) {
        Objects.requireNonNull(attempt, "attempt is null");
        return switch (attempt) {
            case LoadAttempt.NotSent _ -> retryOrEnd(NOT_SENT_WAIT_MILLISECONDS, elapsedMilliseconds);
            case LoadAttempt.Broken _ -> afterBroken(elapsedMilliseconds);
            case LoadAttempt.Complete complete -> afterComplete(complete, elapsedMilliseconds);
        };
    }

    private LoadStep afterBroken(long elapsedMilliseconds) {
        if (kind != LoadKind.BOOKING) {
            return new LoadStep.End(LoadOutcome.LOST);
        }
        mayHaveRun = true;
        return retryOrEnd(UNKNOWN_WAIT_MILLISECONDS, elapsedMilliseconds);
    }

    private LoadStep afterComplete(LoadAttempt.Complete complete, long elapsedMilliseconds) {
        return switch (complete.outcome().orElse("")) {
            case "ran" ->
                new LoadStep.End(
                        isStatusOfRunRequest(complete.status()) ? LoadOutcome.ANSWERED : LoadOutcome.UNEXPECTED);
            case "not-run" -> afterRefusal(complete, elapsedMilliseconds);
            case "unknown" -> afterUnknown(complete, elapsedMilliseconds);
            default -> new LoadStep.End(LoadOutcome.UNEXPECTED);
        };
    }

    private LoadStep afterRefusal(LoadAttempt.Complete complete, long elapsedMilliseconds) {
        if (complete.status() < FIRST_SERVER_ERROR) {
            return new LoadStep.End(LoadOutcome.UNEXPECTED);
        }
        return retryOrEnd(complete.retryAfterMilliseconds().orElse(REFUSED_WAIT_MILLISECONDS), elapsedMilliseconds);
    }

    private LoadStep afterUnknown(LoadAttempt.Complete complete, long elapsedMilliseconds) {
        mayHaveRun = true;
        if (kind != LoadKind.BOOKING) {
            return new LoadStep.End(LoadOutcome.UNKNOWN);
        }
        return retryOrEnd(complete.retryAfterMilliseconds().orElse(UNKNOWN_WAIT_MILLISECONDS), elapsedMilliseconds);
    }

    private LoadStep retryOrEnd(long waitMilliseconds, long elapsedMilliseconds) {
        if (elapsedMilliseconds + waitMilliseconds >= patienceMilliseconds) {
            return new LoadStep.End(mayHaveRun ? LoadOutcome.UNKNOWN : LoadOutcome.REFUSED_NOT_RUN);
        }
        return new LoadStep.Retry(waitMilliseconds);
    }

    private static boolean isStatusOfRunRequest(int status) {
        return (status >= FIRST_SUCCESS && status < FIRST_REDIRECTION) || status >= FIRST_SERVER_ERROR;
    }
}
