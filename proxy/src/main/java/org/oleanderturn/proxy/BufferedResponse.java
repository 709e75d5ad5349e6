package org.oleanderturn.proxy;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * An answer from another node or from a target that was read to its end.
 *
 * <p>Immutable and thread safe; the body's bytes are not to be changed.
 */
@SuppressWarnings("ArrayRecordComponent")
public record BufferedResponse(int status, List<HeaderField> headers, byte[] body) {

    /** Checks that every part is there and copies the headers. */
    public BufferedResponse {
        Objects.requireNonNull(headers, "headers is null");
        Objects.requireNonNull(body, "body is null");
        headers = List.copyOf(headers);
    }

    /** Returns the value of the first header with the given name. */
    public Optional<String> header(String name) {
        return HeaderField.find(headers, name);
    }
}
