package org.oleanderturn.mesh;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.proxy.BufferedResponse;
import org.oleanderturn.proxy.HeaderField;
import org.oleanderturn.proxy.HeaderValues;
import org.oleanderturn.proxy.ProxyHeaders;
import org.oleanderturn.proxy.Response;
import org.oleanderturn.traffic.AgedReport;
import org.oleanderturn.traffic.LoadReport;

/** Encodes the replies of a guard as HTTP responses and decodes them. Stateless and thread safe. */
final class GuardReplyCodec {
    private static final String RAN = "ran";
    private static final String NOT_RUN = "not-run";
    private static final String TURNED_AWAY = "turned-away";
    private static final String UNKNOWN = "unknown";
    private static final String TARGET_ENDED = "target-ended";

    /** Sent as the reason of a request that did not run. */
    private static final String QUARANTINED = "QUARANTINED";

    private GuardReplyCodec() {}

    // -- core operations

    static Response encode(GuardReply reply, LoadReport load, Optional<TargetCondition> condition) {
        Response response = switch (reply) {
            case GuardReply.Ran ran ->
                Response.of(
                                ran.response().status(),
                                ran.response().headers(),
                                new Response.Body.Buffered(ran.response().body()))
                        .withHeader(ProxyHeaders.OUTCOME, RAN);
            case GuardReply.NotRun notRun ->
                emptyResponse(HttpStatuses.SERVICE_UNAVAILABLE)
                        .withHeader(ProxyHeaders.OUTCOME, notRun.isRejectedByTarget() ? TURNED_AWAY : NOT_RUN)
                        .withHeader(ProxyHeaders.REASON, notRun.reason())
                        .withHeader(
                                ProxyHeaders.RETRY_AFTER_MILLISECONDS,
                                notRun.retryAfter().toMillis());
            case GuardReply.Quarantined quarantined ->
                emptyResponse(HttpStatuses.SERVICE_UNAVAILABLE)
                        .withHeader(ProxyHeaders.OUTCOME, NOT_RUN)
                        .withHeader(ProxyHeaders.REASON, QUARANTINED)
                        .withHeader(
                                ProxyHeaders.RETRY_AFTER_MILLISECONDS,
                                quarantined.retryAfter().toMillis());
            case GuardReply.Unknown unknown ->
                emptyResponse(HttpStatuses.BAD_GATEWAY)
                        .withHeader(
                                ProxyHeaders.OUTCOME,
                                unknown.cause() == GuardReply.Cause.TARGET_ENDED ? TARGET_ENDED : UNKNOWN)
                        .withHeader(ProxyHeaders.REASON, printableAscii(unknown.reason()));
            case GuardReply.Abandoned _ ->
                emptyResponse(HttpStatuses.GATEWAY_TIMEOUT).withHeader(ProxyHeaders.OUTCOME, UNKNOWN);
        };
        Response loaded = response.withHeader(ProxyHeaders.LOAD, load.headerValue());
        return condition
                .map(known -> loaded.withHeader(ProxyHeaders.TARGET_CONDITION, known.headerValue()))
                .orElse(loaded);
    }

    /**
     * Adds reports of other targets in a second header of the name of the first. Nodes of an earlier version read only
     * the first and forward neither.
     */
    static Response withOthers(Response response, List<AgedReport> others) {
        return others.isEmpty() ? response : response.withHeader(ProxyHeaders.LOAD, AgedReport.headerValue(others));
    }

    /** Decodes the reports of other targets. */
    static List<AgedReport> decodeOthers(BufferedResponse response) {
        return response.headers().stream()
                .filter(header -> header.isNamed(ProxyHeaders.LOAD))
                .skip(1)
                .flatMap(header -> AgedReport.parse(header.value()).stream())
                .toList();
    }

    static GuardReply decode(BufferedResponse response) {
        String outcome = response.header(ProxyHeaders.OUTCOME).orElse("");
        String reason = response.header(ProxyHeaders.REASON).orElse("");
        Duration retryAfter = HeaderValues.findMilliseconds(response.headers(), ProxyHeaders.RETRY_AFTER_MILLISECONDS)
                .orElse(Duration.ZERO);
        return switch (outcome) {
            case RAN ->
                new GuardReply.Ran(new BufferedResponse(
                        response.status(), HeaderValues.forwardable(response.headers()), response.body()));
            case NOT_RUN ->
                reason.equals(QUARANTINED)
                        ? new GuardReply.Quarantined(retryAfter)
                        : new GuardReply.NotRun(reason, false, retryAfter);
            case TURNED_AWAY -> new GuardReply.NotRun(reason, true, retryAfter);
            case TARGET_ENDED -> new GuardReply.Unknown(GuardReply.Cause.TARGET_ENDED, reason);
            default -> GuardReply.Unknown.of(reason);
        };
    }

    static Optional<LoadReport> decodeLoad(BufferedResponse response) {
        return response.header(ProxyHeaders.LOAD).flatMap(LoadReport::parse);
    }

    /** Decodes the condition of the target of the node that replied. */
    static Optional<TargetCondition> decodeCondition(NodeId node, BufferedResponse response) {
        return response.header(ProxyHeaders.TARGET_CONDITION).flatMap(text -> TargetCondition.parse(node, text));
    }

    private static Response emptyResponse(int status) {
        return Response.of(status, List.<HeaderField>of(), new Response.Body.Buffered(new byte[0]));
    }

    private static String printableAscii(String text) {
        return text.replaceAll("[^ -~]", " ");
    }
}
