package org.oleanderturn.store;

import java.time.Duration;

/**
 * An answer of the store, read whole.
 *
 * <p>Immutable and thread safe; the body's bytes are not to be changed.
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoreResponse(int status, Duration retryAfter, byte[] body) {}
