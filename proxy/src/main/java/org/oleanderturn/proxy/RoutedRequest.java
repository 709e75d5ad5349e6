package org.oleanderturn.proxy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.RoutingTable;
import org.oleanderturn.traffic.DeadlineBudget;
import org.oleanderturn.traffic.Fingerprint;
import org.oleanderturn.traffic.RequestAction;
import org.oleanderturn.traffic.RetryAllowance;

/**
 * A caller's request after routing, with everything that its attempts need.
 *
 * <p>Immutable and thread safe, provided that the body array is not modified.
 *
 * @param method the HTTP method
 * @param path the path and query
 * @param headers the headers to forward
 * @param body the whole body
 * @param routingEntry the matched route, with the endpoints that were known when the request arrived
 * @param deadline the time left until the caller stops waiting
 * @param retryAllowance how many retries the request may still cause along the chain of calls
 * @param fingerprint equal for requests with the same route, method, path and body
 * @param claim the token of the claim under which a booking runs; empty for other kinds
 */
@SuppressWarnings("ArrayRecordComponent")
record RoutedRequest(
        String method,
        String path,
        List<HeaderField> headers,
        byte[] body,
        RoutingTable.Entry routingEntry,
        DeadlineBudget deadline,
        RetryAllowance retryAllowance,
        Fingerprint fingerprint,
        Optional<String> claim) {
    private static final Duration MAXIMUM_CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration MINIMUM_TIMEOUT = Duration.ofMillis(1);

    RoutedRequest {
        Objects.requireNonNull(routingEntry, "routingEntry is null");
        Objects.requireNonNull(deadline, "deadline is null");
        headers = List.copyOf(headers);
    }

    RoutedRequest withClaim(String token) {
        return new RoutedRequest(
                method, path, headers, body, routingEntry, deadline, retryAllowance, fingerprint, Optional.of(token));
    }

    /** Returns the request that one attempt sends to a guard. */
    OutboundRequest toGuard(RequestAction.Send send) {
        List<HeaderField> sentHeaders = new ArrayList<>(headers);
        Duration remaining = attemptTimeout(send);
        sentHeaders.add(
                HeaderField.of(ProxyHeaders.SERVICE, routingEntry.service().name()));
        sentHeaders.add(HeaderField.of(ProxyHeaders.KIND, routingEntry.route().kind()));
        sentHeaders.add(HeaderField.of(ProxyHeaders.ROUTE, routingEntry.route().name()));
        sentHeaders.add(HeaderField.of(ProxyHeaders.FINGERPRINT, fingerprint));
        sentHeaders.add(HeaderField.of(ProxyHeaders.ATTEMPT, send.attempt()));
        sentHeaders.add(HeaderField.of(ProxyHeaders.DEADLINE, remaining.toMillis()));
        sentHeaders.add(
                HeaderField.of(ProxyHeaders.RETRIES_LEFT, send.allowance().remaining()));
        claim.ifPresent(token -> sentHeaders.add(HeaderField.of(ProxyHeaders.CLAIM, token)));
        if (send.isSuspect()) {
            sentHeaders.add(HeaderField.of(ProxyHeaders.SUSPECT, true));
        }
        Duration responseTimeout = remaining.compareTo(MINIMUM_TIMEOUT) < 0 ? MINIMUM_TIMEOUT : remaining;
        Duration connectTimeout =
                responseTimeout.compareTo(MAXIMUM_CONNECT_TIMEOUT) < 0 ? responseTimeout : MAXIMUM_CONNECT_TIMEOUT;
        SendPolicy sendPolicy = claim.isPresent() ? SendPolicy.EXPECT_CONTINUE : SendPolicy.POOLED;
        return new OutboundRequest(method, path, sentHeaders, body, sendPolicy, connectTimeout, responseTimeout);
    }

    /**
     * Returns the timeout of an attempt: half of the remaining time if a lookup can still be retried, otherwise all of
     * it.
     */
    private Duration attemptTimeout(RequestAction.Send send) {
        boolean mayRetry = routingEntry.route().kind() == RequestKind.LOOKUP
                && send.attempt() < routingEntry.trafficPolicy().maximumAttempts();
        Duration remaining = deadline.remaining();
        return mayRetry ? remaining.dividedBy(2) : remaining;
    }
}
