package org.oleanderturn.traffic;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.oleanderturn.model.NodeId;

/**
 * What is known of a request that may crash targets. Nodes exchange it and merge it: the later by clearances, then by
 * revision, then by base level wins, and equal ones are joined, so that copies may be lost, repeated or reordered in
 * transit. Immutable and thread safe.
 *
 * @param fingerprint the request
 * @param clearances how often the request completed after it had been under suspicion
 * @param revision rises when a trial ended without evidence, which takes its level back
 * @param baseLevel the highest number of runs that ended with their targets, each begun in knowledge of the one before
 * @param nodes the nodes whose targets ended under the last of these runs; two of them at the most, in order
 * @param isTrial whether the last run is a trial that has not ended yet
 * @param ageMilliseconds how long ago the level changed
 */
public record CrashSuspicion(
        Fingerprint fingerprint,
        int clearances,
        int revision,
        int baseLevel,
        List<NodeId> nodes,
        boolean isTrial,
        long ageMilliseconds) {
    private static final Pattern FORMAT =
            Pattern.compile("([0-9a-f]{32}),([0-9]{1,9}),([0-9]{1,9}),([0-9]{1,9}),([^,]*),(true|false),([0-9]{1,15})");
    private static final String NODE_SEPARATOR = ";";

    /**
     * Copies the list; throws {@link NullPointerException} if a component is null and {@link IllegalArgumentException}
     * if a number is negative.
     */
    public CrashSuspicion {
        Objects.requireNonNull(fingerprint, "fingerprint is null");
        nodes = List.copyOf(nodes);
        if (clearances < 0 || revision < 0 || baseLevel < 0 || ageMilliseconds < 0) {
            throw new IllegalArgumentException("a number is negative: " + clearances + ", " + revision + ", "
                    + baseLevel + ", " + ageMilliseconds);
        }
    }

    /** Returns the level of suspicion; one more than the base level if targets of several nodes ended together. */
    public int level() {
        return nodes.size() > 1 ? baseLevel + 1 : baseLevel;
    }

    /** Returns whether two suspicions differ at most in their ages. */
    public boolean isSameAs(CrashSuspicion other) {
        return agedBy(-ageMilliseconds).equals(other.agedBy(-other.ageMilliseconds));
    }

    /** Returns the suspicion as it is the given time later. */
    public CrashSuspicion agedBy(long milliseconds) {
        return new CrashSuspicion(
                fingerprint, clearances, revision, baseLevel, nodes, isTrial, ageMilliseconds + milliseconds);
    }

    /** Returns the suspicion as the value of an HTTP header: its parts separated by commas. */
    public String headerValue() {
        String joinedNodes =
                String.join(NODE_SEPARATOR, nodes.stream().map(NodeId::value).toList());
        return fingerprint + "," + clearances + "," + revision + "," + baseLevel + "," + joinedNodes + "," + isTrial
                + "," + ageMilliseconds;
    }

    /** Parses the value of a header; empty if it is malformed. */
    public static Optional<CrashSuspicion> parse(String text) {
        Matcher parts = FORMAT.matcher(text);
        if (!parts.matches()) {
            return Optional.empty();
        }
        try {
            return Optional.of(new CrashSuspicion(
                    Fingerprint.of(parts.group(1)),
                    Integer.parseInt(parts.group(2)),
                    Integer.parseInt(parts.group(3)),
                    Integer.parseInt(parts.group(4)),
                    parseNodes(parts.group(5)),
                    Boolean.parseBoolean(parts.group(6)),
                    Long.parseLong(parts.group(7))));
        } catch (IllegalArgumentException malformedNode) {
            return Optional.empty();
        }
    }

    private static List<NodeId> parseNodes(String text) {
        return text.isEmpty()
                ? List.of()
                : Pattern.compile(NODE_SEPARATOR, Pattern.LITERAL)
                        .splitAsStream(text)
                        .map(NodeId::of)
                        .toList();
    }
}
