package org.oleanderturn.testbed;

import java.util.Objects;

/**
 * Decides what a caller does after each sending of one request.
 *
 * <p>A request is sent again only when the last sending certainly did not run; a booking also when that is not known,
 * under the same key. Invariant: {@link LoadOutcome#REFUSED_NOT_RUN} is given only when no sending can have run. Used by
 * one thread.
 */
public final class LoadCourse {
    private static final long NOT_SENT_WAIT_MILLISECONDS = 20;
    private static final long UNKNOWN_WAIT_MILLISECONDS = 200;
    private static final long REFUSED_WAIT_MILLISECONDS = 100;
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECTION = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    private final LoadKind kind;
    private final long patienceMilliseconds;
    private boolean mayHaveRun;

    private LoadCourse(LoadKind kind, long patienceMilliseconds) {
        this.kind = kind;
        this.patienceMilliseconds = patienceMilliseconds;
    }

    /**
     * Returns the course of a request that has not been sent.
     *
     * @param patienceMilliseconds how long after its scheduled time it is still sent again
     */
    public static LoadCourse of(LoadKind kind, long patienceMilliseconds) {
        Objects.requireNonNull(kind, "kind is null");
        return new LoadCourse(kind, patienceMilliseconds);
    }

    // -- core operations

    /**
     * Takes the end of a sending and returns what to do next.
     *
     * @param passedMilliseconds the time since the request was due
     */
    public LoadStep next(LoadAttempt attempt, long passedMilliseconds) {
        Objects.requireNonNull(attempt, "attempt is null");
        return switch (attempt) {
            case LoadAttempt.NotSent _ -> again(NOT_SENT_WAIT_MILLISECONDS, passedMilliseconds);
            case LoadAttempt.Broken _ -> afterBroken(passedMilliseconds);
            case LoadAttempt.Whole whole -> afterWhole(whole, passedMilliseconds);
        };
    }

    private LoadStep afterBroken(long passedMilliseconds) {
        if (kind != LoadKind.BOOKING) {
            return new LoadStep.End(LoadOutcome.LOST);
        }
        mayHaveRun = true;
        return again(UNKNOWN_WAIT_MILLISECONDS, passedMilliseconds);
    }

    private LoadStep afterWhole(LoadAttempt.Whole whole, long passedMilliseconds) {
        return switch (whole.outcome().orElse("")) {
            case "ran" -> new LoadStep.End(isRunStatus(whole.status()) ? LoadOutcome.ANSWERED : LoadOutcome.UNEXPECTED);
            case "not-run" -> afterRefusal(whole, passedMilliseconds);
            case "unknown" -> afterUnknown(whole, passedMilliseconds);
            default -> new LoadStep.End(LoadOutcome.UNEXPECTED);
        };
    }

    private LoadStep afterRefusal(LoadAttempt.Whole whole, long passedMilliseconds) {
        if (whole.status() < FIRST_SERVER_ERROR) {
            return new LoadStep.End(LoadOutcome.UNEXPECTED);
        }
        return again(whole.retryAfterMilliseconds().orElse(REFUSED_WAIT_MILLISECONDS), passedMilliseconds);
    }

    private LoadStep afterUnknown(LoadAttempt.Whole whole, long passedMilliseconds) {
        mayHaveRun = true;
        if (kind != LoadKind.BOOKING) {
            return new LoadStep.End(LoadOutcome.UNKNOWN);
        }
        return again(whole.retryAfterMilliseconds().orElse(UNKNOWN_WAIT_MILLISECONDS), passedMilliseconds);
    }

    private LoadStep again(long waitMilliseconds, long passedMilliseconds) {
        if (passedMilliseconds + waitMilliseconds >= patienceMilliseconds) {
            return new LoadStep.End(mayHaveRun ? LoadOutcome.UNKNOWN : LoadOutcome.REFUSED_NOT_RUN);
        }
        return new LoadStep.Again(waitMilliseconds);
    }

    private static boolean isRunStatus(int status) {
        return (status >= FIRST_SUCCESS && status < FIRST_REDIRECTION) || status >= FIRST_SERVER_ERROR;
    }
}
