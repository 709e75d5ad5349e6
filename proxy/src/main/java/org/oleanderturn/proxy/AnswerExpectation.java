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
public final class AnswerExpectation {
    private static final AnswerExpectation FRAMED = new AnswerExpectation(_ -> true, false);

    private final Predicate<HttpResponse> isOwn;
    private final boolean mayEndWithConnection;

    private AnswerExpectation(Predicate<HttpResponse> isOwn, boolean mayEndWithConnection) {
        this.isOwn = isOwn;
        this.mayEndWithConnection = mayEndWithConnection;
    }

    /** Expects any answer that says itself where its body ends. */
    public static AnswerExpectation framed() {
        return FRAMED;
    }

    /**
     * Expects an answer whose headers match; others are read over. Its body may end with the connection.
     *
     * @param isOwn returns whether the headers are those of the answer to this request
     */
    public static AnswerExpectation matching(Predicate<List<HeaderField>> isOwn) {
        Objects.requireNonNull(isOwn, "isOwn is null");
        return new AnswerExpectation(response -> isOwn.test(HeaderValues.all(response)), true);
    }

    boolean isMatch(HttpResponse response) {
        return isOwn.test(response);
    }

    boolean mayEndWithConnection() {
        return mayEndWithConnection;
    }
}
