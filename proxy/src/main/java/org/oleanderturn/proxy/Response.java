package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.oleanderturn.model.Codec;

/**
 * An HTTP response: status, headers and body.
 *
 * <p>Immutable and thread safe, except that a streamed body can be written only once.
 */
public record Response(int status, List<HeaderField> headers, Body body) {

    /** Copies the headers; throws {@link NullPointerException} if the headers or the body are null. */
    public Response {
        Objects.requireNonNull(headers, "headers is null");
        Objects.requireNonNull(body, "body is null");
        headers = List.copyOf(headers);
    }

    /** Returns a response with the given status, headers and body. */
    public static Response of(int status, List<HeaderField> headers, Body body) {
        return new Response(status, headers, body);
    }

    /** Returns a response whose body is the value encoded as JSON. */
    public static Response json(int status, Object value) {
        return new Response(
                status,
                List.of(HeaderField.of("Content-Type", "application/json")),
                new Body.Buffered(Codec.json().encode(value)));
    }

    /** Returns a response whose body is the text encoded as UTF-8. */
    public static Response text(int status, String contentType, String text) {
        return new Response(
                status,
                List.of(HeaderField.of("Content-Type", contentType)),
                new Body.Buffered(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns a copy of this response with the header added; existing headers of that name are kept. */
    public Response withHeader(String name, Object value) {
        List<HeaderField> extended = new ArrayList<>(headers);
        extended.add(HeaderField.of(name, value));
        return new Response(status, extended, body);
    }

    /** The body of a response. */
    public sealed interface Body {

        /** A body that is held in memory. The array must not be modified. */
        @SuppressWarnings("ArrayRecordComponent")
        record Buffered(byte[] bytes) implements Body {}

        /**
         * A body that is written while it is being received or produced.
         *
         * @param length the length in bytes; {@link #UNKNOWN_LENGTH} if it is unknown
         * @param source writes the body; closed afterwards, whether or not the body was written
         */
        record Streamed(long length, BodySource source) implements Body {}
    }

    /** The length of a body whose size is unknown before it is written. */
    public static final long UNKNOWN_LENGTH = -1;

    /** Writes a body and releases its resources on {@link #close}. Not thread safe. */
    public interface BodySource extends AutoCloseable {

        /**
         * Writes the whole body.
         *
         * @throws IOException if the body ends early or cannot be written; the connection is then closed
         */
        void writeTo(OutputStream output) throws IOException;

        @Override
        void close();
    }
}
