package org.oleanderturn.proxy;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * A request to another node or to a target.
 *
 * @param method the HTTP method
 * @param path the path with its query
 * @param headers the headers, without those that frame the body
 * @param body the whole body; empty for none
 * @param sendPolicy how much care is taken that a failure says truly whether the request can have run
 * @param connectTimeout the longest wait for a connection
 * @param responseTimeout the longest wait for the answer's headers, and then for each part of its body
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

    /** Checks that every part is there and copies the headers. */
    public OutboundRequest {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(sendPolicy, "delivery is null");
        Objects.requireNonNull(connectTimeout, "connectTimeout is null");
        Objects.requireNonNull(responseTimeout, "answerTimeout is null");
        headers = List.copyOf(headers);
    }

    /** Returns whether the body waits for the peer's go-ahead. */
    public boolean isContinueExpected() {
        return sendPolicy == SendPolicy.EXPECT_CONTINUE;
    }
}
