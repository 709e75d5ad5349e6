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
 * A request as an entry sends it to a guard.
 *
 * <p>Immutable and thread safe.
 *
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers every header
 * @param service the service it is for
 * @param kind what it is
 * @param fingerprint identifies requests that are the same to a target
 * @param deadline the time it has left
 * @param claim the claim under which a booking runs
 * @param isSuspect whether it may have crashed a target
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
    private static final Duration RETURN_TRIP = Duration.ZERO;
    private static final String TRUE = "true";

    /** Reads the headers that an entry sets; a malformed one is a fault. */
    static Either<RequestFault, GuardedRequest> parse(InboundRequest request, LongSupplier nanoseconds) {
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
                DeadlineBudget.of(nanoseconds, deadline.get()),
                request.header(ProxyHeaders.CLAIM),
                request.header(ProxyHeaders.SUSPECT).equals(Optional.of(TRUE))));
    }

    /** Returns the request that goes to the target. */
    OutboundRequest toTarget(byte[] body, Duration connectTimeout) {
        Duration left = deadline.forNextHop(RETURN_TRIP);
        List<HeaderField> passed = new ArrayList<>(HeaderValues.forwardable(headers));
        passed.add(HeaderField.of(ProxyHeaders.DEADLINE, left.toMillis()));
        HeaderField.find(headers, ProxyHeaders.RETRIES_LEFT)
                .ifPresent(retries -> passed.add(HeaderField.of(ProxyHeaders.RETRIES_LEFT, retries)));
        Duration patience = left.isZero() ? Duration.ofMillis(1) : left;
        SendPolicy delivery = kind.isIdempotent() ? SendPolicy.POOLED : SendPolicy.NEW_CONNECTION;
        return new OutboundRequest(method, path, passed, body, delivery, connectTimeout, patience);
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
