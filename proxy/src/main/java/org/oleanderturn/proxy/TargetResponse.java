package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Objects;
import org.oleanderturn.traffic.RunOutcome;

/**
 * A target's response while its body is forwarded; the request keeps its slot until the body ends or this object is
 * closed.
 *
 * <p>Not thread safe.
 */
final class TargetResponse implements Response.BodySource {
    private static final int SERVER_ERROR = 500;

    private final UpstreamResponse response;
    private final TargetExecution execution;
    private final TargetMonitor monitor;
    private final Cancellation cancellation;

    TargetResponse(
            UpstreamResponse response, TargetExecution execution, TargetMonitor monitor, Cancellation cancellation) {
        this.cancellation = Objects.requireNonNull(cancellation, "cancellation is null");
        this.response = Objects.requireNonNull(response, "response is null");
        this.execution = Objects.requireNonNull(execution, "execution is null");
        this.monitor = Objects.requireNonNull(monitor, "monitor is null");
    }

    @Override
    public void writeTo(OutputStream output) throws IOException {
        try {
            response.writeTo(output);
            execution.end(response.status() >= SERVER_ERROR ? RunOutcome.FAILED : RunOutcome.SUCCEEDED);
        } catch (IOException cause) {
            boolean hasTargetCrashed =
                    response.hasReadFailed() && !cancellation.isCancelled() && monitor.checkAfterConnectionLoss();
            execution.end(hasTargetCrashed ? RunOutcome.TARGET_CRASHED : RunOutcome.CANCELLED);
            throw cause;
        }
    }

    @Override
    public void close() {
        response.close();
        execution.end(RunOutcome.CANCELLED);
    }
}
