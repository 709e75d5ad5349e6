package org.oleanderturn.proxy;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A request to another node or to a target.
 *
 * <p>Immutable and thread safe, provided that the body array is not modified.
 *
 * @param method the HTTP method
 * @param path the path and query
 * @param headers the headers, except those that frame the body
 * @param body the whole body; empty if there is none
 * @param sendPolicy which connection is used, and whether the body waits for 100 (Continue)
 * @param connectTimeout the maximum wait for a pooled connection, and again for opening a new one
 * @param responseTimeout the time limit of the whole response if it is read whole; if its body is streamed, that of its
 *     headers, and then of each read of the body
 * @param timeLimitHeader the header that tells the peer, in milliseconds, how long the response is waited for; empty if
 *     none does
 */
@SuppressWarnings("ArrayRecordComponent")
public record OutboundRequest(
        String method,
        String path,
        List<HeaderField> headers,
        byte[] body,
        SendPolicy sendPolicy,
        Duration connectTimeout,
        Duration responseTimeout,
        Optional<String> timeLimitHeader) {

    /** Copies the headers; throws {@link NullPointerException} if a component is null. */
    public OutboundRequest {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(sendPolicy, "sendPolicy is null");
        Objects.requireNonNull(connectTimeout, "connectTimeout is null");
        Objects.requireNonNull(responseTimeout, "responseTimeout is null");
        Objects.requireNonNull(timeLimitHeader, "timeLimitHeader is null");
        headers = List.copyOf(headers);
    }

    /** Returns a request that doesn't tell the peer its time limit. */
    public OutboundRequest(
            String method,
            String path,
            List<HeaderField> headers,
            byte[] body,
            SendPolicy sendPolicy,
            Duration connectTimeout,
            Duration responseTimeout) {
        this(method, path, headers, body, sendPolicy, connectTimeout, responseTimeout, Optional.empty());
    }

    /** Returns a request that tells the peer its time limit in a header. */
    public OutboundRequest withTimeLimitHeader(String name) {
        return new OutboundRequest(
                method, path, headers, body, sendPolicy, connectTimeout, responseTimeout, Optional.of(name));
    }

    /** Returns the request as it is to be sent after some of its time was spent on getting a connection. */
    public OutboundRequest after(Duration spent) {
        if (timeLimitHeader.isEmpty() || spent.toMillis() == 0) {
            return this;
        }
        return new OutboundRequest(
                method,
                path,
                headers.stream().map(header -> shortened(header, spent)).toList(),
                body,
                sendPolicy,
                connectTimeout,
                responseTimeout.minus(spent),
                timeLimitHeader);
    }

    private HeaderField shortened(HeaderField header, Duration spent) {
        if (timeLimitHeader.filter(header::isNamed).isEmpty()) {
            return header;
        }
        return HeaderValues.findMilliseconds(List.of(header), header.name())
                .map(limit -> HeaderField.of(
                        header.name(), Math.max(1, limit.minus(spent).toMillis())))
                .orElse(header);
    }

    /** Returns whether the time limit that the peer would be told has passed. */
    public boolean isExpired() {
        return timeLimitHeader.isPresent() && !responseTimeout.isPositive();
    }

    /** Returns whether the body is sent only after the peer has answered 100 (Continue). */
    public boolean isContinueExpected() {
        return sendPolicy == SendPolicy.EXPECT_CONTINUE;
    }
}
