package org.oleanderturn.proxy;

import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import org.apache.hc.core5.http.HttpResponse;

/**
 * Decides which response on a connection belongs to a request.
 *
 * <p>Immutable and thread safe.
 */
public final class ResponseMatcher {
    private static final ResponseMatcher FRAMED = new ResponseMatcher(_ -> true, false);

    private final Predicate<HttpResponse> matcher;
    private final boolean allowsCloseDelimitedBody;

    private ResponseMatcher(Predicate<HttpResponse> matcher, boolean allowsCloseDelimitedBody) {
        this.matcher = matcher;
        this.allowsCloseDelimitedBody = allowsCloseDelimitedBody;
    }

    /** Accepts every response whose headers define the end of its body. */
    public static ResponseMatcher framed() {
        return FRAMED;
    }

    /**
     * Accepts responses whose headers match; other responses are skipped. The body may be delimited by the end of the
     * connection.
     *
     * @param matcher returns whether the headers belong to the response to this request
     */
    public static ResponseMatcher matching(Predicate<List<HeaderField>> matcher) {
        Objects.requireNonNull(matcher, "matcher is null");
        return new ResponseMatcher(response -> matcher.test(HeaderValues.fromMessage(response)), true);
    }

    boolean isMatch(HttpResponse response) {
        return matcher.test(response);
    }

    boolean allowsCloseDelimitedBody() {
        return allowsCloseDelimitedBody;
    }
}
