package org.oleanderturn.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.oleanderturn.model.Names;
import org.oleanderturn.model.NodeId;

/**
 * A report of a node's load that another node passes on. Immutable and thread safe.
 *
 * @param node the node whose target reported
 * @param report the report
 * @param ageNanoseconds how long ago that node measured it
 */
public record AgedReport(NodeId node, LoadReport report, long ageNanoseconds) {
    private static final Pattern FORMAT = Pattern.compile("([^=]+)=([0-9,]+),([0-9]{1,7})");
    private static final String SEPARATOR = ";";

    /** Throws {@link NullPointerException} if a component is null. */
    public AgedReport {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(report, "report is null");
    }

    /** Returns reports as the value of an HTTP header. */
    public static String headerValue(List<AgedReport> reports) {
        List<String> texts = new ArrayList<>();
        for (AgedReport aged : reports) {
            long milliseconds = TimeUnit.NANOSECONDS.toMillis(aged.ageNanoseconds());
            texts.add(aged.node().value() + "=" + aged.report().headerValue() + "," + milliseconds);
        }
        return String.join(SEPARATOR, texts);
    }

    /** Parses the value of a header; what is malformed is left out. */
    public static List<AgedReport> parse(String text) {
        List<AgedReport> reports = new ArrayList<>();
        for (String part : text.split(SEPARATOR, -1)) {
            parseOne(part).ifPresent(reports::add);
        }
        return reports;
    }

    private static Optional<AgedReport> parseOne(String text) {
        Matcher fields = FORMAT.matcher(text);
        if (!fields.matches() || !Names.isWellFormed(fields.group(1))) {
            return Optional.empty();
        }
        long age = TimeUnit.MILLISECONDS.toNanos(Long.parseLong(fields.group(3)));
        return LoadReport.parse(fields.group(2)).map(report -> new AgedReport(NodeId.of(fields.group(1)), report, age));
    }
}
