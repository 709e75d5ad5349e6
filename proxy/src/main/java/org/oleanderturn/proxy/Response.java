package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.oleanderturn.model.Codec;

/**
 * The answer to a request: its status, its headers and its body.
 *
 * <p>Immutable and thread safe, but for a streamed body, which is written once.
 */
public record Response(int status, List<HeaderField> headers, Body body) {

    /** Checks that every part is there and copies the headers. */
    public Response {
        Objects.requireNonNull(headers, "headers is null");
        Objects.requireNonNull(body, "body is null");
        headers = List.copyOf(headers);
    }

    /** Returns the answer of the given parts. */
    public static Response of(int status, List<HeaderField> headers, Body body) {
        return new Response(status, headers, body);
    }

    /** Returns an answer whose body is a value's JSON encoding. */
    public static Response json(int status, Object value) {
        return new Response(
                status,
                List.of(HeaderField.of("Content-Type", "application/json")),
                new Body.Buffered(Codec.json().encode(value)));
    }

    /** Returns an answer whose body is text. */
    public static Response text(int status, String contentType, String text) {
        return new Response(
                status,
                List.of(HeaderField.of("Content-Type", contentType)),
                new Body.Buffered(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns this answer with a header added. */
    public Response withHeader(String name, Object value) {
        List<HeaderField> extended = new ArrayList<>(headers);
        extended.add(HeaderField.of(name, value));
        return new Response(status, extended, body);
    }

    /** What an answer carries. */
    public sealed interface Body {

        /** A body that is there as a whole. The bytes are not to be changed. */
        @SuppressWarnings("ArrayRecordComponent")
        record Buffered(byte[] bytes) implements Body {}

        /**
         * A body that is written as it comes.
         *
         * @param length its length in bytes; {@link #UNKNOWN_LENGTH} when it is not known
         * @param source writes it; closed afterwards whether or not it was written
         */
        record Streamed(long length, BodySource source) implements Body {}
    }

    /** The length of a body that is not known before it is written. */
    public static final long UNKNOWN_LENGTH = -1;

    /** Writes a body and frees what it holds. */
    public interface BodySource extends AutoCloseable {

        /**
         * Writes the whole body.
         *
         * @throws IOException when the body ends early or the peer is gone; the connection is then cut
         */
        void writeTo(OutputStream output) throws IOException;

        @Override
        void close();
    }
}
