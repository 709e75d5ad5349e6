package org.oleanderturn.traffic;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Load of a target, as reported by its guard. Immutable and thread safe.
 *
 * @param slots requests that the target runs at once; 0 while it accepts none
 * @param running requests that run
 * @param waiting requests that wait for a slot
 * @param slownessPercent how long requests take, in percent of their target latency; 0 if unknown
 */
public record LoadReport(int slots, int running, int waiting, int slownessPercent) {
    private static final Pattern FORMAT = Pattern.compile("([0-9]{1,7}),([0-9]{1,7}),([0-9]{1,7}),([0-9]{1,7})");

    private static final int HIGHEST_NUMBER = 9_999_999;

    /** Reports whose loads differ by at most the slots divided by this number are similar, which saves messages. */
    private static final int TOLERANCE_DIVISOR = 6;

    /**
     * Returns the report of a target that limits its rate: as few slots as the rate keeps busy, and as many waiting as make
     * up the wait for the rate, so that balancers treat it as a smaller target.
     *
     * @param requestsPerSecond the limit
     * @param runSeconds how long a request takes on average
     * @param pacingSeconds how long a further request would wait for the rate
     */
    public LoadReport paced(double requestsPerSecond, double runSeconds, double pacingSeconds) {
        int usable = (int) Math.max(1, Math.min(slots, Math.ceil(requestsPerSecond * runSeconds)));
        double pacedTotal = pacingSeconds > 0 ? Math.ceil(usable * (1 + pacingSeconds / runSeconds)) - 1 : 0;
        int total = (int) Math.min(HIGHEST_NUMBER, Math.max(running + waiting, pacedTotal));
        int busy = Math.min(usable, total);
        return new LoadReport(usable, busy, total - busy, slownessPercent);
    }

    /** Returns whether another report is so similar that it need not be sent. */
    public boolean isSimilarTo(LoadReport other) {
        int difference = Math.abs(running + waiting - other.running - other.waiting);
        return slots == other.slots && difference <= slots / TOLERANCE_DIVISOR;
    }

    /** Returns the report as the value of an HTTP header: four numbers separated by commas. */
    public String headerValue() {
        return slots + "," + running + "," + waiting + "," + slownessPercent;
    }

    /** Parses the value of a header; empty if it is malformed. */
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
