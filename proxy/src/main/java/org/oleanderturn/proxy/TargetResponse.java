package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Objects;
import org.oleanderturn.traffic.RunOutcome;

/**
 * A target's answer while it is passed on; the request holds its slot until the end.
 *
 * <p>Used by one thread.
 */
final class TargetResponse implements Response.BodySource {
    private static final int SERVER_ERROR = 500;

    private final UpstreamResponse response;
    private final TargetExecution run;
    private final TargetMonitor monitor;
    private final Cancellation cancellation;

    TargetResponse(UpstreamResponse answer, TargetExecution run, TargetMonitor monitor, Cancellation cancellation) {
        this.cancellation = Objects.requireNonNull(cancellation, "cancellation is null");
        this.response = Objects.requireNonNull(answer, "answer is null");
        this.run = Objects.requireNonNull(run, "run is null");
        this.monitor = Objects.requireNonNull(monitor, "monitor is null");
    }

    @Override
    public void writeTo(OutputStream output) throws IOException {
        try {
            response.writeTo(output);
            run.end(response.status() >= SERVER_ERROR ? RunOutcome.FAILED : RunOutcome.SUCCEEDED);
        } catch (IOException cause) {
            boolean isDead =
                    response.hasReadFailed() && !cancellation.isCancelled() && monitor.checkAfterConnectionLoss();
            run.end(isDead ? RunOutcome.TARGET_CRASHED : RunOutcome.CANCELLED);
            throw cause;
        }
    }

    @Override
    public void close() {
        response.close();
        run.end(RunOutcome.CANCELLED);
    }
}
