package org.oleanderturn.proxy;

import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import org.apache.hc.core5.http.HttpResponse;

/**
 * What the answer to a request must look like.
 *
 * <p>Immutable and thread safe.
 */
public final class ResponseMatcher {
    private static final ResponseMatcher FRAMED = new ResponseMatcher(_ -> true, false);

    private final Predicate<HttpResponse> matcher;
    private final boolean allowsCloseDelimitedBody;

    private ResponseMatcher(Predicate<HttpResponse> isOwn, boolean mayEndWithConnection) {
        this.matcher = isOwn;
        this.allowsCloseDelimitedBody = mayEndWithConnection;
    }

    /** Expects any answer that says itself where its body ends. */
    public static ResponseMatcher framed() {
        return FRAMED;
    }

    /**
     * Expects an answer whose headers match; others are read over. Its body may end with the connection.
     *
     * @param isOwn returns whether the headers are those of the answer to this request
     */
    public static ResponseMatcher matching(Predicate<List<HeaderField>> isOwn) {
        Objects.requireNonNull(isOwn, "isOwn is null");
        return new ResponseMatcher(response -> isOwn.test(HeaderValues.fromMessage(response)), true);
    }

    boolean isMatch(HttpResponse response) {
        return matcher.test(response);
    }

    boolean allowsCloseDelimitedBody() {
        return allowsCloseDelimitedBody;
    }
}
