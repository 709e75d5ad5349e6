package org.oleanderturn.mesh;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.RequestHandler;
import org.oleanderturn.proxy.Response;

/**
 * Answers the calls of the local target: heartbeats, and that it leaves.
 *
 * <p>Invariant: a call that the target leaves is answered only after the target is closed. Thread safe.
 */
public final class TargetCallHandler implements RequestHandler {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int OK = 200;

    /** How many reports a health check may contradict before they are believed; a late one comes alone. */
    private static final int MAXIMUM_IGNORED_REPORTS = 2;

    private final ProtocolAdapter adapter;
    private final LocalTarget target;
    private final TargetHealthCheck healthCheck;
    private final AtomicInteger ignoredReports = new AtomicInteger();

    private TargetCallHandler(ProtocolAdapter dialect, LocalTarget target, TargetHealthCheck check) {
        this.adapter = dialect;
        this.target = target;
        this.healthCheck = check;
    }

    /** Returns the handler of a target's calls. */
    public static TargetCallHandler of(ProtocolAdapter dialect, LocalTarget target, TargetHealthCheck check) {
        Objects.requireNonNull(dialect, "dialect is null");
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(check, "check is null");
        return new TargetCallHandler(dialect, target, check);
    }

    @Override
    public Response handle(InboundRequest request) throws IOException {
        return switch (adapter.targetCall(request)) {
            case TargetCall.Heartbeat heartbeat -> {
                if (!isPossiblyStale(heartbeat.report())) {
                    target.applyReport(heartbeat.report());
                }
                yield answer(OK);
            }
            case TargetCall.Deregistration leave -> {
                target.deregister(leave);
                yield answer(OK);
            }
            case TargetCall.Malformed malformed -> {
                log.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                        "call of the target can't be read: %s", malformed.reason());
                yield answer(HttpStatuses.BAD_REQUEST);
            }
        };
    }

    /**
     * Returns whether a report of work taken may be one from before the target said to an earlier process that it leaves.
     * A target whose health answer is false is believed when it goes on reporting.
     */
    private boolean isPossiblyStale(TargetReport report) {
        boolean isKnown = target.status().report().isPresent();
        if (isKnown || report.isLeaving() || healthCheck.isAcceptingWork(report.start())) {
            return false;
        }
        boolean isDoubtful = ignoredReports.incrementAndGet() <= MAXIMUM_IGNORED_REPORTS;
        log.atInfo().log("report %s of target %s is doubtful: %s", report.sequence(), report.start(), isDoubtful);
        return isDoubtful;
    }

    private static Response answer(int status) {
        byte[] body = {'{', '}'};
        return Response.of(
                status, List.of(HeaderField.of("Content-Type", "application/json")), new Response.Body.Buffered(body));
    }
}
