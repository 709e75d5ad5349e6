package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.traffic.Attempt;
import org.oleanderturn.traffic.AttemptOutcome;
import org.oleanderturn.traffic.UpstreamStatistics;

/**
 * The response to one attempt while its body is forwarded to the caller. The attempt is finished when the body has been
 * read or when this object is closed, whichever comes first.
 *
 * <p>Not thread safe.
 */
final class AttemptResponse implements Response.BodySource {
    private final UpstreamResponse response;
    private final Attempt attempt;
    private final UpstreamStatistics statistics;

    AttemptResponse(UpstreamResponse response, Attempt attempt, UpstreamStatistics statistics) {
        this.response = Objects.requireNonNull(response, "response is null");
        this.attempt = Objects.requireNonNull(attempt, "attempt is null");
        this.statistics = Objects.requireNonNull(statistics, "statistics is null");
    }

    UpstreamResponse upstreamResponse() {
        return response;
    }

    /** Reads the whole body; returns empty if it is longer than the limit. */
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
