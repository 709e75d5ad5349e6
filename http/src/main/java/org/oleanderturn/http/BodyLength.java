package org.oleanderturn.http;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.HttpVersion;

/**
 * What the head of a response tells about the length of its body, by RFC 9110, section 8.6 and RFC 9112, section 6.
 *
 * <p>Stateless and thread safe.
 */
final class BodyLength {
    private static final String CHUNKED = "chunked";

    private BodyLength() {}

    /**
     * Checks that a head states the length of the body in at most one way, and replaces a length that is repeated by a single
     * one.
     *
     * @throws MalformedResponseException if what it states is malformed, ambiguous or not allowed with its status or version
     */
    static void check(ClassicHttpResponse response) throws MalformedResponseException {
        Header[] encodings = response.getHeaders(HttpHeaders.TRANSFER_ENCODING);
        Header[] lengths = response.getHeaders(HttpHeaders.CONTENT_LENGTH);
        if (encodings.length > 0) {
            checkEncoding(response, encodings);
        }
        if (lengths.length > 0) {
            long length = singleLength(lengths);
            if (encodings.length > 0) {
                throw new MalformedResponseException("the response has a length and a transfer coding");
            }
            if (length > 0 && isWithoutLength(response)) {
                throw new MalformedResponseException("the response has a length, which its status rules out");
            }
            response.removeHeaders(HttpHeaders.CONTENT_LENGTH);
            response.addHeader(HttpHeaders.CONTENT_LENGTH, length);
        }
    }

    private static void checkEncoding(ClassicHttpResponse response, Header[] encodings)
            throws MalformedResponseException {
        if (encodings.length > 1 || !trimmed(encodings[0].getValue()).equalsIgnoreCase(CHUNKED)) {
            throw new MalformedResponseException("the response has a transfer coding other than chunked");
        }
        if (response.getVersion().lessEquals(HttpVersion.HTTP_1_0) || isWithoutLength(response)) {
            throw new MalformedResponseException(
                    "the response has a transfer coding, which its version or status rules out");
        }
    }

    /** Returns whether the status allows neither a length, but for one of 0 that servers send, nor a transfer coding. */
    private static boolean isWithoutLength(ClassicHttpResponse response) {
        return response.getCode() < HttpStatus.SC_OK || response.getCode() == HttpStatus.SC_NO_CONTENT;
    }

    private static long singleLength(Header[] lengths) throws MalformedResponseException {
        long single = -1;
        for (Header header : lengths) {
            for (String element : header.getValue().split(",", -1)) {
                long length = parse(trimmed(element));
                if (single >= 0 && single != length) {
                    throw new MalformedResponseException("the response has different lengths");
                }
                single = length;
            }
        }
        return single;
    }

    private static long parse(String text) throws MalformedResponseException {
        boolean isNumber = !text.isEmpty() && text.chars().allMatch(character -> character >= '0' && character <= '9');
        try {
            if (isNumber) {
                return Long.parseLong(text);
            }
        } catch (NumberFormatException tooLarge) {
            throw new MalformedResponseException("the length of the response exceeds a long");
        }
        throw new MalformedResponseException("the length of the response is malformed");
    }

    /** Removes the blanks around a value, and nothing else that {@link String#trim} takes for one. */
    private static String trimmed(String value) {
        int start = 0;
        int end = value.length();
        while (start < end && isBlank(value.charAt(start))) {
            start++;
        }
        while (end > start && isBlank(value.charAt(end - 1))) {
            end--;
        }
        return value.substring(start, end);
    }

    private static boolean isBlank(char character) {
        return character == ' ' || character == '\t';
    }
}
