package org.oleanderturn.http;

import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Responses that HTTP allows, and ones that it does not but a lenient reader takes for such. Each has the given fields first in
 * its head.
 *
 * <p>Immutable and thread safe.
 */
public final class ResponseSamples {
    /** The body of the responses that have one. */
    public static final String BODY = "0123456789";

    private static final String LINE_END = "\r\n";
    private static final String STATUS_LINE = "HTTP/1.1 200 OK";
    private static final String LENGTH = "Content-Length: 10";
    private static final String CHUNKED = "Transfer-Encoding: chunked";
    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.[01] ([0-9]{3})");
    private static final int LOWEST_FINAL_STATUS = 200;

    private ResponseSamples() {}

    /** Returns all responses that HTTP does not allow. */
    public static List<String> malformed(String... fields) {
        return Stream.of(malformedLines(fields), malformedLengths(fields), malformedChunks(fields))
                .flatMap(List::stream)
                .toList();
    }

    /** Returns responses with a line in the head that is no status line or no field. */
    public static List<String> malformedLines(String... fields) {
        Stream<String> statusLines = Stream.of(
                        "HTTP/1.1  200 OK",
                        " HTTP/1.1 200 OK",
                        "HTTP/1.1\t200 OK",
                        "http/1.1 200 OK",
                        "HTTP/01.1 200 OK",
                        "HTTP/1.10 200 OK",
                        "HTTP/0.9 200 OK",
                        "HTTP/2.0 200 OK",
                        "HTTP/1.1 000 OK",
                        "HTTP/1.1 0200 OK",
                        "HTTP/1.1 +200 OK",
                        "HTTP/1.1 200OK",
                        "HTTP/1.1 200\tOK",
                        "HTTP/1.1 200 O\0K",
                        "HTTP/1.1 200 O\rK",
                        LINE_END + STATUS_LINE)
                .map(line -> sized(line, fields));
        Stream<String> lines = Stream.of(
                        "garbage",
                        ":",
                        ": value",
                        "=value",
                        "\0",
                        "Na me: value",
                        "Name : value",
                        "Name\t: value",
                        " Name: value",
                        "\tName: value",
                        "Na\0me: value",
                        "Na\1me: value",
                        "Na\rme: value",
                        "Na\177me: value",
                        "Na\200me: value",
                        "Na(me): value",
                        "Name\0: value",
                        "Name: val\0ue",
                        "Name: val\1ue",
                        "Name: val\rue",
                        "Name: val\177ue",
                        "Name: value\r",
                        "Name: value\r\n folded")
                .flatMap(line -> Stream.of(
                        message(STATUS_LINE, BODY, with(fields, line, LENGTH)),
                        message(STATUS_LINE, BODY, with(fields, LENGTH, line))));
        Stream<String> lengths = Stream.of(
                        "Content Length: 10",
                        "Content-Length : 10",
                        " Content-Length: 10",
                        "Content-Length\0: 10",
                        "Content\1Length: 10",
                        "Content-Length 10",
                        "Content-Length\r\n: 10",
                        "Transfer-Encoding : chunked")
                .map(line -> message(STATUS_LINE, BODY, with(fields, line)));
        Stream<String> informational = Stream.of(
                        "HTTP/1.1 100 Continue\r\nNa me: value\r\n\r\n",
                        "HTTP/1.1 103 Early Hints\r\nName: val\0ue\r\n\r\n",
                        "HTTP/1.1  100 Continue\r\n\r\n",
                        "HTTP/1.1 100 Continue\r\n\r\n\r\n")
                .map(text -> text + sized(STATUS_LINE, fields));
        return Stream.of(statusLines, lines, lengths, informational)
                .flatMap(all -> all)
                .toList();
    }

    /** Returns responses with a field that should tell the length of the body and does not. */
    public static List<String> malformedLengths(String... fields) {
        Stream<String> lengths = Stream.of(
                        "",
                        "-10",
                        "+10",
                        "0xa",
                        "a",
                        "10x",
                        "1 0",
                        "10.0",
                        "10,",
                        "10,,10",
                        "10, 11",
                        "10;",
                        "10\r\nContent-Length: 11",
                        "10\r\nContent-Length:",
                        "99999999999999999999")
                .map(value -> message(STATUS_LINE, BODY, with(fields, "Content-Length: " + value)));
        String chunks = "a\r\n" + BODY + "\r\n0\r\n\r\n";
        Stream<String> encodings = Stream.of(
                        "",
                        "gzip",
                        "identity",
                        "xchunked",
                        "chunked x",
                        "chunked;a=b",
                        "gzip, chunked",
                        "chunked, gzip",
                        "chunked, chunked",
                        "chunked\r\nTransfer-Encoding: chunked",
                        "chunked\r\nTransfer-Encoding: gzip",
                        "chunked\r\nContent-Length: 10",
                        "chunked\r\nContent-Length: 25")
                .map(value -> message(STATUS_LINE, chunks, with(fields, "Transfer-Encoding: " + value)));
        Stream<String> others = Stream.of(
                message("HTTP/1.0 200 OK", chunks, with(fields, CHUNKED)),
                message("HTTP/1.1 204 No Content", "", with(fields, LENGTH)),
                message("HTTP/1.1 204 No Content", "", with(fields, CHUNKED)),
                message("HTTP/1.1 304 Not Modified", "", with(fields, "Content-Length: x")),
                message("HTTP/1.1 103 Early Hints", sized(STATUS_LINE, fields), LENGTH),
                message("HTTP/1.1 103 Early Hints", sized(STATUS_LINE, fields), CHUNKED));
        return Stream.of(lengths, encodings, others).flatMap(all -> all).toList();
    }

    /** Returns responses with a line in the chunked coding or in the trailer section that is malformed. */
    public static List<String> malformedChunks(String... fields) {
        Stream<String> sizes = Stream.of(
                        "",
                        " a",
                        "a ",
                        "+a",
                        "-a",
                        "0xa",
                        "g",
                        "a b",
                        "a\0",
                        "a\rb",
                        "a,",
                        "a;",
                        "a;\1",
                        "a; =b",
                        "a;b=",
                        "a;b=\"",
                        "a;b=\"c",
                        "a;b c",
                        "a;b=c ",
                        "a;;b",
                        "fffffffffffffffffa",
                        "\200")
                .map(size -> chunked(size + LINE_END + BODY + "\r\n0\r\n\r\n", fields));
        Stream<String> lineEnds = Stream.of(
                        "a\n" + BODY + "\r\n0\r\n\r\n",
                        "a\r\n" + BODY + "\n0\r\n\r\n",
                        "a\r\n" + BODY + "\r\n0\n\r\n",
                        "a\r\n" + BODY + "\r\n0\r\n\n",
                        "a\r\n" + BODY + "x\r\n0\r\n\r\n",
                        "a\r\n" + BODY + " \r\n0\r\n\r\n",
                        "a\r\n" + BODY + "\r\n\r\n0\r\n\r\n",
                        "a\r\r\n" + BODY + "\r\n0\r\n\r\n")
                .map(body -> chunked(body, fields));
        Stream<String> trailers = Stream.of(
                        "garbage",
                        ": value",
                        "Na me: value",
                        "Name : value",
                        " Name: value",
                        "Na\0me: value",
                        "Name: val\0ue",
                        "Name: val\rue",
                        "Name: value\r\n folded",
                        "Content-Length: 10",
                        "Transfer-Encoding: chunked")
                .map(line -> chunked("a\r\n" + BODY + "\r\n0\r\n" + line + "\r\n\r\n", fields));
        return Stream.of(sizes, lineEnds, trailers).flatMap(all -> all).toList();
    }

    /** Returns responses with the body that HTTP allows and whose end does not depend on that of the connection. */
    public static List<String> wellFormed(String... fields) {
        Stream<String> heads = Stream.of(
                        "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 All right\t\u00e9", "HTTP/1.0 200 OK")
                .map(line -> sized(line, fields));
        Stream<String> lines = Stream.of(
                        "cOnTeNt-LeNgTh: 10",
                        "Content-Length:10",
                        "Content-Length: \t 10 \t ",
                        "Content-Length: 010",
                        "Content-Length: 10, 10",
                        "Content-Length: 10,10 , 10",
                        "Content-Length: 10\r\ncontent-length: 10",
                        "Content-Length: 10\r\nName:",
                        "Content-Length: 10\r\nName: \t ",
                        "Content-Length: 10\r\nName: a  b\tc: d",
                        "Content-Length: 10\r\nName: \200\u00ff",
                        "Content-Length: 10\r\n!#$%&'*+-.^_`|~09azAZ: value")
                .map(line -> message(STATUS_LINE, BODY, with(fields, line)));
        Stream<String> chunks = Stream.of(
                        "a\r\n" + BODY + "\r\n0\r\n\r\n",
                        "A\r\n" + BODY + "\r\n0\r\n\r\n",
                        "000a\r\n" + BODY + "\r\n000\r\n\r\n",
                        "4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n",
                        "a;b\r\n" + BODY + "\r\n0;b\r\n\r\n",
                        "a ; b = c;d=\"e;\\\"f\" ; g\r\n" + BODY + "\r\n0\r\n\r\n",
                        "a\r\n" + BODY + "\r\n0\r\nName: value\r\nOther:\r\n\r\n")
                .map(body -> chunked(body, fields));
        Stream<String> encodings = Stream.of("Transfer-Encoding:Chunked", "transfer-encoding: \t CHUNKED \t ")
                .map(line -> message(STATUS_LINE, "a\r\n" + BODY + "\r\n0\r\n\r\n", with(fields, line)));
        Stream<String> informational = Stream.of(
                        "HTTP/1.1 100 Continue\r\n\r\n",
                        "HTTP/1.1 102\r\n\r\n",
                        "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\nHTTP/1.1 100 \r\n\r\n")
                .map(text -> text + sized(STATUS_LINE, fields));
        Stream<String> singleLineFeeds = Stream.of(message(STATUS_LINE, "", with(fields, LENGTH))
                .replace(LINE_END, "\n")
                .concat(BODY));
        return Stream.of(heads, lines, chunks, encodings, informational, singleLineFeeds)
                .flatMap(all -> all)
                .toList();
    }

    /** Returns responses with the body, which ends with the connection. */
    public static List<String> delimitedByTheConnection(String... fields) {
        return Stream.of(STATUS_LINE, "HTTP/1.0 200 OK")
                .map(line -> message(line, BODY, fields))
                .toList();
    }

    /** Returns responses with a status that has no body. */
    public static List<String> withoutBody(String... fields) {
        return List.of(
                message("HTTP/1.1 204 No Content", "", fields),
                message("HTTP/1.1 204", "", with(fields, "Content-Length: 0")),
                message("HTTP/1.1 304 Not Modified", "", fields),
                message("HTTP/1.1 304", "", with(fields, LENGTH)),
                message("HTTP/1.1 304", "", with(fields, CHUNKED)));
    }

    /** Returns the status of a response that HTTP allows, behind any informational ones. */
    public static int finalStatus(String response) {
        return STATUS.matcher(response)
                .results()
                .mapToInt(status -> Integer.parseInt(status.group(1)))
                .filter(status -> status >= LOWEST_FINAL_STATUS)
                .findFirst()
                .orElseThrow();
    }

    /** Returns a text with its control characters made visible. */
    public static String visible(String text) {
        StringBuilder visible = new StringBuilder();
        text.chars().forEach(character -> {
            boolean isPrintable = character >= ' ' && character < '\177';
            visible.append(isPrintable ? String.valueOf((char) character) : "\\x%02x".formatted(character));
        });
        return visible.toString();
    }

    /** Returns a response with the body and its length. */
    public static String sized(String statusLine, String... fields) {
        return message(statusLine, BODY, with(fields, LENGTH));
    }

    private static String chunked(String body, String... fields) {
        return message(STATUS_LINE, body, with(fields, CHUNKED));
    }

    private static String message(String statusLine, String body, String... lines) {
        StringBuilder message = new StringBuilder(statusLine).append(LINE_END);
        for (String line : lines) {
            message.append(line).append(LINE_END);
        }
        return message.append(LINE_END).append(body).toString();
    }

    private static String[] with(String[] fields, String... added) {
        return Stream.concat(Stream.of(fields), Stream.of(added)).toArray(String[]::new);
    }
}
