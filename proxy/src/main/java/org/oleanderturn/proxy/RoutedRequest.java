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
 * A caller's request with all that its attempts need.
 *
 * <p>Immutable and thread safe.
 *
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers the headers that are passed on
 * @param body the whole body
 * @param routingEntry the route that it takes, with the endpoints known when it came
 * @param deadline the time it has left
 * @param retryAllowance the extra attempts it may cause
 * @param fingerprint identifies requests that are the same to a target
 * @param claim the claim under which a booking runs
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
        Objects.requireNonNull(routingEntry, "entry is null");
        Objects.requireNonNull(deadline, "deadline is null");
        headers = List.copyOf(headers);
    }

    RoutedRequest withClaim(String token) {
        return new RoutedRequest(
                method, path, headers, body, routingEntry, deadline, retryAllowance, fingerprint, Optional.of(token));
    }

    /** Returns the request of one attempt. */
    OutboundRequest toGuard(RequestAction.Send send) {
        List<HeaderField> sent = new ArrayList<>(headers);
        Duration left = attemptTimeout(send);
        sent.add(HeaderField.of(ProxyHeaders.SERVICE, routingEntry.service().name()));
        sent.add(HeaderField.of(ProxyHeaders.KIND, routingEntry.route().kind()));
        sent.add(HeaderField.of(ProxyHeaders.ROUTE, routingEntry.route().name()));
        sent.add(HeaderField.of(ProxyHeaders.FINGERPRINT, fingerprint));
        sent.add(HeaderField.of(ProxyHeaders.ATTEMPT, send.attempt()));
        sent.add(HeaderField.of(ProxyHeaders.DEADLINE, left.toMillis()));
        sent.add(HeaderField.of(ProxyHeaders.RETRIES_LEFT, send.allowance().remaining()));
        claim.ifPresent(token -> sent.add(HeaderField.of(ProxyHeaders.CLAIM, token)));
        if (send.isSuspect()) {
            sent.add(HeaderField.of(ProxyHeaders.SUSPECT, true));
        }
        Duration patience = left.compareTo(MINIMUM_TIMEOUT) < 0 ? MINIMUM_TIMEOUT : left;
        Duration connect = patience.compareTo(MAXIMUM_CONNECT_TIMEOUT) < 0 ? patience : MAXIMUM_CONNECT_TIMEOUT;
        SendPolicy delivery = claim.isPresent() ? SendPolicy.EXPECT_CONTINUE : SendPolicy.POOLED;
        return new OutboundRequest(method, path, sent, body, delivery, connect, patience);
    }

    /** Returns the time of one attempt: half of what is left while a lookup may be tried again, else all of it. */
    private Duration attemptTimeout(RequestAction.Send send) {
        boolean mayTryAgain = routingEntry.route().kind() == RequestKind.LOOKUP
                && send.attempt() < routingEntry.trafficPolicy().maximumAttempts();
        Duration left = deadline.remaining();
        return mayTryAgain ? left.dividedBy(2) : left;
    }
}
