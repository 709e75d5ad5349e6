package org.oleanderturn.testbed;

import java.util.Objects;

/**
 * A limit that a measure has to keep.
 *
 * <p>Immutable and thread safe.
 *
 * @param kind which side of the limit is allowed
 * @param limit the limit, in the measure's unit
 */
public record BenchBound(Kind kind, double limit) {

    /** Checks that the kind is there. */
    public BenchBound {
        Objects.requireNonNull(kind, "kind is null");
    }

    /** Which side of a limit is allowed. */
    public enum Kind {
        /** The highest value must not be above the limit. */
        AT_MOST,
        /** The lowest value must not be below the limit. */
        AT_LEAST
    }

    /** Returns an upper limit. */
    public static BenchBound atMost(double limit) {
        return new BenchBound(Kind.AT_MOST, limit);
    }

    /** Returns a lower limit. */
    public static BenchBound atLeast(double limit) {
        return new BenchBound(Kind.AT_LEAST, limit);
    }

    /** Returns whether every value keeps the limit. */
    public boolean isMet(BenchSamples samples) {
        return switch (kind) {
            case AT_MOST -> samples.high() <= limit;
            case AT_LEAST -> samples.low() >= limit;
        };
    }
}
