package org.oleanderturn.mesh;

/** The HTTP status codes that the mesh uses or handles specially. */
final class HttpStatuses {
    static final int BAD_REQUEST = 400;
    static final int UNAUTHORIZED = 401;
    static final int NOT_FOUND = 404;
    static final int CONTENT_TOO_LARGE = 413;
    static final int REQUEST_TIMEOUT = 408;
    static final int MISDIRECTED_REQUEST = 421;
    static final int TOO_MANY_REQUESTS = 429;
    static final int INTERNAL_SERVER_ERROR = 500;
    static final int BAD_GATEWAY = 502;
    static final int SERVICE_UNAVAILABLE = 503;
    static final int GATEWAY_TIMEOUT = 504;
    private static final int LOWEST_SUCCESS = 200;
    private static final int LOWEST_REDIRECTION = 300;

    private HttpStatuses() {}

    static boolean isSuccess(int status) {
        return status >= LOWEST_SUCCESS && status < LOWEST_REDIRECTION;
    }

    /** Returns whether clients take the status as a guarantee that the request did not run and will not. */
    static boolean isNotRunGuarantee(int status) {
        return status == REQUEST_TIMEOUT
                || status == MISDIRECTED_REQUEST
                || status == TOO_MANY_REQUESTS
                || status == SERVICE_UNAVAILABLE;
    }
}
