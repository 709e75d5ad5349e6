package org.oleanderturn.proxy;

import java.io.IOException;
import java.util.Locale;
import java.util.Objects;
import java.util.OptionalLong;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpVersion;

/**
 * What was read as the head of a request.
 *
 * <p>Immutable and thread safe, except for the message.
 */
sealed interface ReceivedRequest {

    /**
     * A request.
     *
     * @param arrivalNanoseconds a time at or before its arrival; empty if it was read when it arrived
     */
    record Head(ClassicHttpRequest message, OptionalLong arrivalNanoseconds) implements ReceivedRequest {
        public Head {
            Objects.requireNonNull(message, "message is null");
            Objects.requireNonNull(arrivalNanoseconds, "arrivalNanoseconds is null");
        }
    }

    /** Bytes that are not a request. */
    record Malformed(HttpException cause) implements ReceivedRequest {}

    /** Bytes that could not be read as a request, as they exceed a limit. */
    record Unreadable(IOException cause) implements ReceivedRequest {}

    /** Returns whether a request may run while others of its connection do: it is safe and has no body. */
    default boolean mayRunConcurrently() {
        return this instanceof Head head
                && (head.message.getMethod().equals("GET")
                        || head.message.getMethod().equals("HEAD"))
                && (head.message.getVersion() == null
                        || head.message.getVersion().greaterEquals(HttpVersion.HTTP_1_1))
                && !hasBody(head.message)
                && !head.message.containsHeader(HttpHeaders.EXPECT)
                && !head.message.containsHeader(HttpHeaders.UPGRADE);
    }

    /** Returns whether the client asks for the connection to be closed behind the response. */
    default boolean closesConnection() {
        if (!(this instanceof Head head)) {
            return true;
        }
        for (Header header : head.message.getHeaders(HttpHeaders.CONNECTION)) {
            if (String.valueOf(header.getValue()).toLowerCase(Locale.ROOT).contains("close")) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the head says that a body follows. */
    static boolean hasBody(ClassicHttpRequest message) {
        return message.containsHeader(HttpHeaders.CONTENT_LENGTH)
                || message.containsHeader(HttpHeaders.TRANSFER_ENCODING);
    }
}
