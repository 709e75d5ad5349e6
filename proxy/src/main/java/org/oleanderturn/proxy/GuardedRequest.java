package org.oleanderturn.proxy;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.oleanderturn.model.Names;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.traffic.DeadlineBudget;
import org.oleanderturn.traffic.Fingerprint;

/**
 * A request that a guard received from an entry, with the entry's headers parsed.
 *
 * <p>Immutable and thread safe.
 *
 * @param method the HTTP method
 * @param path the path and query
 * @param headers all headers
 * @param service the service that must run the request
 * @param kind the kind of request, which decides whether it may be retried
 * @param fingerprint equal for requests with the same route, method, path and body
 * @param deadline the time left until the caller stops waiting
 * @param claim the token of the claim under which a booking runs; empty for other kinds
 * @param isSuspect whether an earlier attempt may have crashed a target
 */
record GuardedRequest(
        String method,
        String path,
        List<HeaderField> headers,
        ServiceName service,
        RequestKind kind,
        Fingerprint fingerprint,
        DeadlineBudget deadline,
        Optional<String> claim,
        boolean isSuspect) {
    /** Time reserved for the response to travel back to the entry. */
    private static final Duration RETURN_TRIP = Duration.ZERO;

    private static final String TRUE = "true";

    /** Parses the headers that an entry sets; returns a fault if one is missing or malformed. */
    static Either<RequestFault, GuardedRequest> parse(InboundRequest request, LongSupplier clock) {
        Optional<ServiceName> service =
                request.header(ProxyHeaders.SERVICE).filter(Names::isWellFormed).map(ServiceName::of);
        Optional<RequestKind> kind = request.header(ProxyHeaders.KIND).flatMap(RequestKind::parse);
        Optional<Duration> deadline = HeaderValues.findMilliseconds(request.headers(), ProxyHeaders.DEADLINE);
        Optional<Fingerprint> fingerprint =
                request.header(ProxyHeaders.FINGERPRINT).flatMap(GuardedRequest::fingerprint);
        if (service.isEmpty()) {
            return malformed(ProxyHeaders.SERVICE);
        }
        if (kind.isEmpty()) {
            return malformed(ProxyHeaders.KIND);
        }
        if (deadline.isEmpty()) {
            return malformed(ProxyHeaders.DEADLINE);
        }
        if (fingerprint.isEmpty()) {
            return malformed(ProxyHeaders.FINGERPRINT);
        }
        return Either.right(new GuardedRequest(
                request.method(),
                request.path(),
                request.headers(),
                service.get(),
                kind.get(),
                fingerprint.get(),
                DeadlineBudget.of(clock, deadline.get()),
                request.header(ProxyHeaders.CLAIM),
                request.header(ProxyHeaders.SUSPECT).equals(Optional.of(TRUE))));
    }

    /** Returns the request to send to the target. */
    OutboundRequest toTarget(byte[] body, Duration connectTimeout) {
        Duration remaining = deadline.forNextHop(RETURN_TRIP);
        List<HeaderField> forwarded = new ArrayList<>(HeaderValues.forwardable(headers));
        forwarded.add(HeaderField.of(ProxyHeaders.DEADLINE, remaining.toMillis()));
        HeaderField.find(headers, ProxyHeaders.RETRIES_LEFT)
                .ifPresent(retriesLeft -> forwarded.add(HeaderField.of(ProxyHeaders.RETRIES_LEFT, retriesLeft)));
        Duration responseTimeout = remaining.isZero() ? Duration.ofMillis(1) : remaining;
        SendPolicy sendPolicy = kind.isIdempotent() ? SendPolicy.POOLED : SendPolicy.NEW_CONNECTION;
        return new OutboundRequest(method, path, forwarded, body, sendPolicy, connectTimeout, responseTimeout);
    }

    private static Either<RequestFault, GuardedRequest> malformed(String header) {
        return Either.left(new RequestFault.MalformedHeader(header));
    }

    private static Optional<Fingerprint> fingerprint(String text) {
        try {
            return Optional.of(Fingerprint.of(text));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }
}
