package org.oleanderturn.proxy;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.function.LongSupplier;
import org.apache.hc.core5.http.HttpHeaders;
import org.oleanderturn.model.RoutingTable;
import org.oleanderturn.traffic.DeadlineBudget;
import org.oleanderturn.traffic.Fingerprint;
import org.oleanderturn.traffic.RequestSender;
import org.oleanderturn.traffic.RetryAllowance;

/** Reads a caller's request into a {@link RoutedRequest}. Stateless and thread safe. */
final class RoutedRequestReader {
    /** The maximum length of a request body, in bytes. */
    static final int BODY_LIMIT_BYTES = 1_000_000;

    static final int HEADER_COUNT_LIMIT = 100;

    private RoutedRequestReader() {}

    /** Reads the whole request; returns a fault if it has too many headers or its body is too long. */
    static Either<RequestFault, RoutedRequest> read(
            InboundRequest request, RoutingTable.Entry entry, LongSupplier clock) throws IOException {
        if (request.headers().size() > HEADER_COUNT_LIMIT) {
            return Either.left(new RequestFault.TooManyHeaders(HEADER_COUNT_LIMIT));
        }
        DeadlineBudget deadline = deadline(request, entry, clock);
        Optional<byte[]> body = request.readBody(BODY_LIMIT_BYTES);
        if (body.isEmpty()) {
            return Either.left(new RequestFault.BodyTooLarge(BODY_LIMIT_BYTES));
        }
        Fingerprint fingerprint = Fingerprint.ofRequest(
                request.method(),
                HeaderValues.hostWithoutPort(request.headers()),
                request.path(),
                RequestSender.unknown(),
                body.get());
        return Either.right(new RoutedRequest(
                request.method(),
                request.path(),
                forwardedHeaders(request),
                body.get(),
                entry,
                deadline,
                retryAllowance(request, entry),
                fingerprint,
                Optional.empty()));
    }

    /** Returns an upper bound of the body's length in bytes, before the body is read. */
    static long maximumBodyBytes(InboundRequest request) {
        OptionalLong declared = HeaderValues.findNumber(request.headers(), HttpHeaders.CONTENT_LENGTH);
        boolean isLengthUnknown = request.header(HttpHeaders.TRANSFER_ENCODING).isPresent();
        return Math.min(BODY_LIMIT_BYTES, isLengthUnknown ? BODY_LIMIT_BYTES : declared.orElse(0));
    }

    private static List<HeaderField> forwardedHeaders(InboundRequest request) {
        List<HeaderField> headers = new ArrayList<>(HeaderValues.forwardable(request.headers()));
        if (HeaderField.find(headers, ProxyHeaders.REQUEST_ID).isEmpty()) {
            headers.add(HeaderField.of(ProxyHeaders.REQUEST_ID, UUID.randomUUID()));
        }
        return headers;
    }

    private static DeadlineBudget deadline(InboundRequest request, RoutingTable.Entry entry, LongSupplier clock) {
        Duration maximum = Duration.ofMillis(entry.trafficPolicy().timeoutMilliseconds());
        Duration requested = HeaderValues.findMilliseconds(request.headers(), ProxyHeaders.DEADLINE)
                .orElse(maximum);
        return DeadlineBudget.of(clock, requested, maximum);
    }

    private static RetryAllowance retryAllowance(InboundRequest request, RoutingTable.Entry entry) {
        int maximum = Math.max(0, entry.trafficPolicy().maximumAttempts() - 1);
        OptionalLong declared = HeaderValues.findNumber(request.headers(), ProxyHeaders.RETRIES_LEFT);
        return RetryAllowance.of((int) Math.min(maximum, declared.orElse(maximum)));
    }
}
