package org.oleanderturn.traffic;

import java.util.Optional;

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
    private static final int FIELDS = 4;

    /** A change of load by up to this part of the slots is not worth a message. */
    private static final int NEAR_PART = 6;

    /** Returns whether a report says so nearly the same that it need not be told. */
    public boolean isNear(LoadReport other) {
        int change = Math.abs(running + waiting - other.running - other.waiting);
        return slots == other.slots && change <= slots / NEAR_PART;
    }

    /** Returns the report as text, for a header. */
    public String text() {
        return slots + "," + running + "," + waiting + "," + slownessPercent;
    }

    /** Returns the report that a text stands for; empty when it is malformed. */
    public static Optional<LoadReport> parse(String text) {
        String[] fields = text.split(",", -1);
        if (fields.length != FIELDS) {
            return Optional.empty();
        }
        int[] numbers = new int[FIELDS];
        for (int index = 0; index < FIELDS; index++) {
            if (!fields[index].matches("[0-9]{1,7}")) {
                return Optional.empty();
            }
            numbers[index] = Integer.parseInt(fields[index]);
        }
        return Optional.of(new LoadReport(numbers[0], numbers[1], numbers[2], numbers[3]));
    }
}
