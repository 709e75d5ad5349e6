package org.oleanderturn.store;

import java.time.Duration;

/**
 * A complete response of the store.
 *
 * <p>Immutable and thread safe; the body's bytes must not be changed.
 *
 * @param status the HTTP status code
 * @param retryAfter when the store asks to retry; 1 second when it does not say
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreResponse(int status, Duration retryAfter, byte[] body) {}
