package org.oleanderturn.store;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A complete response of the store.
 *
 * <p>Immutable and thread safe; the body's bytes must not be changed.
 *
 * @param status the HTTP status code
 * @param retryAfter when the store asks to retry; 1 second when it does not say
 * @param headers the first value of each header
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreResponse(int status, Duration retryAfter, Map<String, String> headers, byte[] body) {

    /** Copies the headers. */
    public StoreResponse {
        Map<String, String> copy = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        copy.putAll(headers);
        headers = copy;
    }

    /** Returns the value of a header, whose name is compared without regard to case; empty if there is none. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }
}
