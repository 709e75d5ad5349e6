package org.oleanderturn.claims;

/**
 * How many claims were decided which way since the start, and how many settlements wait.
 *
 * <p>Immutable and thread safe.
 */
public record ClaimCounts(
        long granted, long replayed, long unknown, long keyReused, long notRun, long settled, int waiting) {}
