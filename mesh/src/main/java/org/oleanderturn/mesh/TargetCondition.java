package org.oleanderturn.mesh;

import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.oleanderturn.model.NodeId;

/**
 * What is known of the signals of a target's process. The guard beside the target decides it; all nodes keep a copy, so
 * that a guard that starts again learns it from them.
 *
 * <p>Invariant: {@link #join} is commutative, associative and idempotent, so copies may be lost, repeated or reordered in
 * transit; a process that leaves never comes back. Immutable and thread safe.
 *
 * @param node the node beside the target
 * @param start the process
 * @param revision rises with each change
 * @param requestsPerSecond the rate that the process takes from all nodes together, or {@link #UNLIMITED}
 * @param isLeaving whether the process accepts no new requests
 */
public record TargetCondition(
        NodeId node, TargetStart start, long revision, double requestsPerSecond, boolean isLeaving) {

    /** The rate of a process that doesn't limit it. */
    public static final double UNLIMITED = Double.POSITIVE_INFINITY;

    private static final Pattern FORMAT =
            Pattern.compile("(-?[0-9]{1,18}),([0-9]{1,18}),([0-9.eE+-]{1,30}|Infinity),(true|false),(.*)");
    private static final Comparator<TargetCondition> AGE = Comparator.comparingLong(
                    (TargetCondition condition) -> condition.start().bornMilliseconds())
            .thenComparing(condition -> condition.start().instance())
            .thenComparingLong(TargetCondition::revision);

    /** Throws {@link NullPointerException} if a component is null, {@link IllegalArgumentException} if the rate is negative. */
    public TargetCondition {
        Objects.requireNonNull(node, "node is null");
        Objects.requireNonNull(start, "start is null");
        if (!(requestsPerSecond >= 0)) {
            throw new IllegalArgumentException("rate is not a positive number: " + requestsPerSecond);
        }
    }

    /** Returns the condition of a process that has asked nothing yet. */
    public static TargetCondition initial(NodeId node, TargetStart start) {
        return new TargetCondition(node, start, 0, UNLIMITED, false);
    }

    // -- queries

    /** Returns the rate that the process takes; empty if it doesn't limit it. */
    public OptionalDouble limit() {
        return requestsPerSecond == UNLIMITED ? OptionalDouble.empty() : OptionalDouble.of(requestsPerSecond);
    }

    /** Returns whether a guard must know the condition before it sends a request to the process. */
    public boolean isBinding() {
        return isLeaving || requestsPerSecond != UNLIMITED;
    }

    /** Returns whether two conditions ask the same of the same process. */
    boolean asksSameAs(TargetCondition other) {
        return start.equals(other.start)
                && requestsPerSecond == other.requestsPerSecond
                && isLeaving == other.isLeaving;
    }

    // -- core operations

    /** Returns what two nodes know together of a node's target. */
    public TargetCondition join(TargetCondition other) {
        TargetCondition newer = AGE.compare(this, other) >= 0 ? this : other;
        boolean isAnyLeaving = start.equals(other.start) && (isLeaving || other.isLeaving);
        return newer.isLeaving == (newer.isLeaving || isAnyLeaving)
                ? newer
                : new TargetCondition(newer.node, newer.start, newer.revision, newer.requestsPerSecond, true);
    }

    /** Returns the next revision of this condition. */
    TargetCondition changed(double nextRequestsPerSecond, boolean isNowLeaving) {
        return new TargetCondition(node, start, revision + 1, nextRequestsPerSecond, isLeaving || isNowLeaving);
    }

    /** Returns this condition with the lowest revision above the given one. */
    TargetCondition above(long otherRevision) {
        return new TargetCondition(node, start, otherRevision + 1, requestsPerSecond, isLeaving);
    }

    // -- header

    /** Returns the condition as the value of an HTTP header between entry and guard, which both know the node. */
    public String headerValue() {
        return start.bornMilliseconds() + "," + revision + "," + requestsPerSecond + "," + isLeaving + ","
                + start.instance();
    }

    /** Parses the value of a header; empty if it is malformed. */
    public static Optional<TargetCondition> parse(NodeId node, String text) {
        Matcher parts = FORMAT.matcher(text);
        if (!parts.matches()) {
            return Optional.empty();
        }
        try {
            TargetStart start = new TargetStart(parts.group(5), Long.parseLong(parts.group(1)));
            return Optional.of(new TargetCondition(
                    node,
                    start,
                    Long.parseLong(parts.group(2)),
                    Double.parseDouble(parts.group(3)),
                    Boolean.parseBoolean(parts.group(4))));
        } catch (IllegalArgumentException malformedNumber) {
            return Optional.empty();
        }
    }
}
