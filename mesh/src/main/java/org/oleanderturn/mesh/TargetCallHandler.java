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
 * Handles the calls of the local target: heartbeats and deregistrations.
 *
 * <p>Invariant: a deregistration is answered only after the target is closed. Thread safe.
 */
public final class TargetCallHandler implements RequestHandler {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();
    private static final int OK = 200;

    /** How many reports that contradict the health check are ignored; a delayed report comes alone. */
    private static final int MAXIMUM_IGNORED_REPORTS = 2;

    private final ProtocolAdapter adapter;
    private final LocalTarget target;
    private final TargetHealthCheck healthCheck;
    private final AtomicInteger ignoredReports = new AtomicInteger();

    private TargetCallHandler(ProtocolAdapter adapter, LocalTarget target, TargetHealthCheck healthCheck) {
        this.adapter = adapter;
        this.target = target;
        this.healthCheck = healthCheck;
    }

    /** Returns a handler that applies the calls to the given target. */
    public static TargetCallHandler of(ProtocolAdapter adapter, LocalTarget target, TargetHealthCheck healthCheck) {
        Objects.requireNonNull(adapter, "adapter is null");
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(healthCheck, "healthCheck is null");
        return new TargetCallHandler(adapter, target, healthCheck);
    }

    @Override
    public Response handle(InboundRequest request) throws IOException {
        return switch (adapter.targetCall(request)) {
            case TargetCall.Heartbeat heartbeat -> {
                if (!isPossiblyStale(heartbeat.report())) {
                    target.applyReport(heartbeat.report());
                }
                yield response(OK);
            }
            case TargetCall.Deregistration deregistration -> {
                target.deregister(deregistration);
                yield response(OK);
            }
            case TargetCall.Malformed malformed -> {
                log.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                        "malformed call of the target: %s", malformed.reason());
                yield response(HttpStatuses.BAD_REQUEST);
            }
        };
    }

    /**
     * Returns whether a report may be a delayed one, sent before the target deregistered at an earlier process of this node.
     * A target that keeps reporting is accepted, even if its health check fails.
     */
    private boolean isPossiblyStale(TargetReport report) {
        boolean isKnown = target.status().report().isPresent();
        if (isKnown || report.isLeaving() || healthCheck.isAcceptingRequests(report.start())) {
            return false;
        }
        boolean isIgnored = ignoredReports.incrementAndGet() <= MAXIMUM_IGNORED_REPORTS;
        log.atInfo().log(
                "health check contradicts report %s of target %s, ignored: %s",
                report.sequence(), report.start(), isIgnored);
        return isIgnored;
    }

    private static Response response(int status) {
        byte[] body = {'{', '}'};
        return Response.of(
                status, List.of(HeaderField.of("Content-Type", "application/json")), new Response.Body.Buffered(body));
    }
}
