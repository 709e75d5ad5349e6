package org.oleanderturn.proxy;

import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;

/** Determines whether a response has a body and whether its headers define where the body ends. Stateless and thread safe. */
final class ResponseFraming {
    private ResponseFraming() {}

    /** Returns whether a response with the given status to a request with the given method has a body. */
    static boolean hasBody(String method, int status) {
        return !method.equals("HEAD") && status != HttpStatus.SC_NO_CONTENT && status != HttpStatus.SC_NOT_MODIFIED;
    }

    /**
     * Returns whether the headers define the end of the body, so that it is not delimited by the end of the connection.
     */
    static boolean isFramed(HttpResponse response) {
        return response.containsHeader(HttpHeaders.CONTENT_LENGTH)
                || response.containsHeader(HttpHeaders.TRANSFER_ENCODING);
    }

    /**
     * Checks that the end of the body can be distinguished from a failed connection.
     *
     * @throws HttpException if the body is delimited by the end of the connection
     */
    static void requireFramed(HttpResponse response) throws HttpException {
        if (!isFramed(response)) {
            throw new ProtocolException("the answer's body has no length");
        }
    }
}
