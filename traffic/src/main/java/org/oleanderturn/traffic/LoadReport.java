package org.oleanderturn.traffic;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a guard says of its target's load.
 *
 * <p>Immutable and thread safe.
 *
 * @param slots requests that the target runs at once; 0 when it takes none
 * @param running requests that run
 * @param waiting requests that wait for a slot
 * @param slownessPercent how long the target's requests take, as a share of their target latency
 */
public record LoadReport(int slots, int running, int waiting, int slownessPercent) {
    private static final Pattern FORMAT = Pattern.compile("([0-9]{1,7}),([0-9]{1,7}),([0-9]{1,7}),([0-9]{1,7})");

    /** A change of load by up to this part of the slots is not worth a message. */
    private static final int TOLERANCE_DIVISOR = 6;

    /** Returns whether a report says so nearly the same that it need not be told. */
    public boolean isSimilarTo(LoadReport other) {
        int change = Math.abs(running + waiting - other.running - other.waiting);
        return slots == other.slots && change <= slots / TOLERANCE_DIVISOR;
    }

    /** Returns the report as text, for a header. */
    public String headerValue() {
        return slots + "," + running + "," + waiting + "," + slownessPercent;
    }

    /** Returns the report that a text stands for; empty when it is malformed. */
    public static Optional<LoadReport> parse(String text) {
        Matcher fields = FORMAT.matcher(text);
        if (!fields.matches()) {
            return Optional.empty();
        }
        return Optional.of(new LoadReport(number(fields, 1), number(fields, 2), number(fields, 3), number(fields, 4)));
    }

    private static int number(Matcher fields, int field) {
        return Integer.parseInt(fields.group(field));
    }
}
