package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.traffic.Attempt;
import org.oleanderturn.traffic.AttemptOutcome;
import org.oleanderturn.traffic.UpstreamStatistics;

/**
 * The answer of one attempt while it is passed on; the attempt ends with it.
 *
 * <p>Used by one thread.
 */
final class AttemptResponse implements Response.BodySource {
    private final UpstreamResponse response;
    private final Attempt attempt;
    private final UpstreamStatistics statistics;

    AttemptResponse(UpstreamResponse answer, Attempt attempt, UpstreamStatistics statistics) {
        this.response = Objects.requireNonNull(answer, "answer is null");
        this.attempt = Objects.requireNonNull(attempt, "attempt is null");
        this.statistics = Objects.requireNonNull(statistics, "statistics is null");
    }

    UpstreamResponse upstreamResponse() {
        return response;
    }

    /** Reads the whole body; empty when it is longer than the limit. */
    Optional<byte[]> readBody(int limitBytes) throws IOException {
        try {
            Optional<byte[]> body = response.readBody(limitBytes);
            statistics.finish(attempt, new AttemptOutcome.Succeeded());
            return body;
        } catch (IOException cause) {
            statistics.finish(attempt, new AttemptOutcome.ResponseTruncated());
            throw cause;
        }
    }

    @Override
    public void writeTo(OutputStream output) throws IOException {
        response.writeTo(output);
        statistics.finish(attempt, new AttemptOutcome.Succeeded());
    }

    @Override
    public void close() {
        response.close();
        statistics.finish(attempt, new AttemptOutcome.Cancelled());
    }
}
