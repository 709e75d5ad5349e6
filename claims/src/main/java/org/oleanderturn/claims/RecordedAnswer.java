package org.oleanderturn.claims;

import java.util.List;
import java.util.Objects;

/**
 * The whole answer to a booking, as it is replayed.
 *
 * <p>Immutable and thread safe; the body's bytes are not to be changed.
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordedAnswer(int status, List<Header> headers, byte[] body) {
    /** The largest answer that is recorded, headers counted; of a larger one it is recorded only that it ran. */
    public static final int MAXIMUM_BYTES = 64 * 1024;

    /** One header field. */
    public record Header(String name, String value) {
        /** Checks that both parts are there. */
        public Header {
            Objects.requireNonNull(name, "name is null");
            Objects.requireNonNull(value, "value is null");
        }
    }

    /** Copies the headers. */
    public RecordedAnswer {
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body is null");
    }

    /** Returns the answer of the given parts. */
    public static RecordedAnswer of(int status, List<Header> headers, byte[] body) {
        return new RecordedAnswer(status, headers, body);
    }

    /** Returns whether the answer is small enough to be recorded. */
    boolean isRecordable() {
        long size = body.length;
        for (Header header : headers) {
            size += header.name().length() + header.value().length();
        }
        return size <= MAXIMUM_BYTES;
    }
}
