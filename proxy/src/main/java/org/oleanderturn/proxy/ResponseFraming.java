package org.oleanderturn.proxy;

import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;

/** Says how an answer's body is framed. */
final class ResponseFraming {
    private ResponseFraming() {}

    /** Returns whether an answer of the given status to the given method has a body. */
    static boolean hasBody(String method, int status) {
        return !method.equals("HEAD") && status != HttpStatus.SC_NO_CONTENT && status != HttpStatus.SC_NOT_MODIFIED;
    }

    /** Returns whether the answer says itself where its body ends. */
    static boolean isFramed(HttpResponse response) {
        return response.containsHeader(HttpHeaders.CONTENT_LENGTH)
                || response.containsHeader(HttpHeaders.TRANSFER_ENCODING);
    }

    /**
     * Checks that the end of the body can be told from a broken connection.
     *
     * @throws HttpException when the body ends only with its connection
     */
    static void requireFramed(HttpResponse response) throws HttpException {
        if (!isFramed(response)) {
            throw new ProtocolException("the answer's body has no length");
        }
    }
}
