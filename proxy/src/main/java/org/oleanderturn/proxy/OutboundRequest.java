package org.oleanderturn.proxy;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

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
 */
@SuppressWarnings("ArrayRecordComponent")
public record OutboundRequest(
        String method,
        String path,
        List<HeaderField> headers,
        byte[] body,
        SendPolicy sendPolicy,
        Duration connectTimeout,
        Duration responseTimeout) {

    /** Copies the headers; throws {@link NullPointerException} if a component is null. */
    public OutboundRequest {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(sendPolicy, "sendPolicy is null");
        Objects.requireNonNull(connectTimeout, "connectTimeout is null");
        Objects.requireNonNull(responseTimeout, "responseTimeout is null");
        headers = List.copyOf(headers);
    }

    /** Returns whether the body is sent only after the peer has answered 100 (Continue). */
    public boolean isContinueExpected() {
        return sendPolicy == SendPolicy.EXPECT_CONTINUE;
    }
}
