package org.oleanderturn.testbed;

import java.util.Objects;

/**
 * An upper or lower limit on the values of a measure.
 *
 * <p>Immutable and thread safe.
 *
 * @param kind whether the limit is an upper or a lower one
 * @param limit the limit, in the measure's unit
 */
public record BenchBound(Kind kind, double limit) {

    /**
     * Rejects a null kind.
     *
     * @throws NullPointerException if the kind is null
     */
    public BenchBound {
        Objects.requireNonNull(kind, "kind is null");
    }

    /** Whether a limit is an upper or a lower one. */
    public enum Kind {
        /** The highest value must not exceed the limit. */
        AT_MOST,
        /** The lowest value must not fall below the limit. */
        AT_LEAST
    }

    /** Returns an upper limit, in the measure's unit; a value equal to it is allowed. */
    public static BenchBound atMost(double limit) {
        return new BenchBound(Kind.AT_MOST, limit);
    }

    /** Returns a lower limit, in the measure's unit; a value equal to it is allowed. */
    public static BenchBound atLeast(double limit) {
        return new BenchBound(Kind.AT_LEAST, limit);
    }

    /** Returns whether all samples are within the limit. */
    public boolean isMet(BenchSamples samples) {
        return switch (kind) {
            case AT_MOST -> samples.high() <= limit;
            case AT_LEAST -> samples.low() >= limit;
        };
    }
}
