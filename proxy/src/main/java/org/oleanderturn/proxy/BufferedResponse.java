package org.oleanderturn.proxy;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A response from another node or from a target whose body has been read completely.
 *
 * <p>Immutable and thread safe, provided that the body array is not modified.
 */
@SuppressWarnings("ArrayRecordComponent")
public record BufferedResponse(int status, List<HeaderField> headers, byte[] body) {

    /** Copies the headers; throws {@link NullPointerException} if the headers or the body are null. */
    public BufferedResponse {
        Objects.requireNonNull(headers, "headers is null");
        Objects.requireNonNull(body, "body is null");
        headers = List.copyOf(headers);
    }

    /** Returns the value of the first header with the given name; empty if there is none. */
    public Optional<String> header(String name) {
        return HeaderField.find(headers, name);
    }
}
