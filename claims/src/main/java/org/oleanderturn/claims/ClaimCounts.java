package org.oleanderturn.claims;

/**
 * Number of claims by decision and of written settlements since the start, and number of settlements pending now.
 *
 * <p>Immutable and thread safe.
 */
public record ClaimCounts(
        long granted, long replayed, long unknown, long keyReused, long notRun, long settled, int waiting) {}
