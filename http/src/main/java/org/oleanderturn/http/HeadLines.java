package org.oleanderturn.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * The lines of the head of a response: a status line, and fields up to an empty line. A line may end with a single line feed,
 * which RFC 9112, section 2.2 permits a recipient to accept.
 *
 * <p>Invariant: a head with a malformed line has a fault once it has been read; it is read to its end, so that the library can
 * apply its limits. Used by one thread, for one head.
 */
final class HeadLines extends CheckedLines {
    private boolean isStatusLineRead;
    private Optional<String> fault = Optional.empty();

    HeadLines(SessionInputBuffer buffer) {
        super(buffer);
    }

    /** Returns why the head that has been read is malformed; empty if it is not. */
    Optional<String> fault() {
        return fault;
    }

    @Override
    public int readLine(CharArrayBuffer line, InputStream source) throws IOException {
        int length = unchecked().readLine(line, source);
        if (length < 0) {
            return length;
        }
        if (isStatusLineRead) {
            checkField(line);
        } else if (line.isEmpty()) {
            fault = Optional.of("an empty line precedes the status line");
        } else {
            requireStatusLine(line);
            isStatusLineRead = true;
        }
        return length;
    }

    private void checkField(CharArrayBuffer line) {
        if (!line.isEmpty() && !LineSyntax.isField(line)) {
            fault = Optional.of("a line of the head is no field");
        }
    }

    /** Fails at once, as the library reads nothing behind a line that it can't parse. */
    private static void requireStatusLine(CharArrayBuffer line) throws MalformedResponseException {
        if (!LineSyntax.isStatusLine(line)) {
            throw new MalformedResponseException("the status line is malformed");
        }
    }
}
