package org.oleanderturn.claims;

import java.util.List;
import java.util.Objects;

/**
 * The complete answer to a booking, recorded for replay.
 *
 * <p>Immutable and thread safe, provided that the body's bytes are not modified.
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordedAnswer(int status, List<Header> headers, byte[] body) {
    /** The maximum size of a recorded answer in bytes, headers included; of a larger one only the status is recorded. */
    public static final int MAXIMUM_BYTES = 64 * 1024;

    /** One header field. */
    public record Header(String name, String value) {
        /** Rejects a null name or value. */
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

    /** Returns an answer with the given status, headers and body. */
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
