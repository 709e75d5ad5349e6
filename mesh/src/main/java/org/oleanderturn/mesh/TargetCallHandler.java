package org.oleanderturn.mesh;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
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

    private final ProtocolAdapter adapter;
    private final LocalTarget target;
    private final TargetHealthCheck healthCheck;

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
                if (!heartbeat.address().equals(healthCheck.address())) {
                    yield refuse("heartbeat of a target at " + heartbeat.address());
                }
                TargetReport report = heartbeat.report();
                if (!isPossiblyStale(report) && !isOfAnotherTarget(report)) {
                    target.applyReport(report);
                }
                yield response(OK);
            }
            case TargetCall.Deregistration deregistration -> {
                target.deregister(deregistration);
                yield response(OK);
            }
            case TargetCall.Malformed malformed -> refuse(malformed.reason());
        };
    }

    private static Response refuse(String reason) {
        log.atWarning().atMostEvery(1, TimeUnit.SECONDS).log("malformed call of the target: %s", reason);
        return response(HttpStatuses.BAD_REQUEST);
    }

    /**
     * Returns whether a report names another process than the one that reported last, although that one's instance responds
     * at the target's address. Only a change of the process costs a health check.
     */
    private boolean isOfAnotherTarget(TargetReport report) {
        boolean isSameInstance = target.status()
                .report()
                .map(known -> known.start().instance().equals(report.start().instance()))
                .orElse(true);
        if (isSameInstance || !healthCheck.isOtherInstance(report.start())) {
            return false;
        }
        log.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                "report %s of target %s ignored, as another instance responds at its address",
                report.sequence(), report.start());
        return true;
    }

    /**
     * Returns whether a report may be a delayed one, sent before the target deregistered at an earlier process of this node.
     * Any number of them may be under way, so the target stays closed until its health check agrees with a report.
     */
    private boolean isPossiblyStale(TargetReport report) {
        boolean isKnown = target.status().report().isPresent();
        if (isKnown || report.isLeaving() || healthCheck.isAcceptingRequests(report.start())) {
            return false;
        }
        log.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                "report %s of target %s ignored, as the health check contradicts it",
                report.sequence(), report.start());
        return true;
    }

    private static Response response(int status) {
        byte[] body = {'{', '}'};
        return Response.of(
                status, List.of(HeaderField.of("Content-Type", "application/json")), new Response.Body.Buffered(body));
    }
}
