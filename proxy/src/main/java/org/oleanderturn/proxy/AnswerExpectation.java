package org.oleanderturn.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;

/**
 * What the answer to a request must look like.
 *
 * <p>Immutable and thread safe.
 */
public final class AnswerExpectation {
    private static final AnswerExpectation FRAMED = new AnswerExpectation(_ -> true, false);

    private final Predicate<List<HeaderField>> isOwn;
    private final boolean mayEndWithConnection;

    private AnswerExpectation(Predicate<List<HeaderField>> isOwn, boolean mayEndWithConnection) {
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
        return new AnswerExpectation(Objects.requireNonNull(isOwn, "isOwn is null"), true);
    }

    boolean isMatch(HttpResponse response) {
        List<HeaderField> headers = new ArrayList<>();
        for (Header header : response.getHeaders()) {
            headers.add(HeaderField.of(header.getName(), header.getValue()));
        }
        return isOwn.test(headers);
    }

    boolean mayEndWithConnection() {
        return mayEndWithConnection;
    }
}
