package org.oleanderturn.mesh;

import java.util.Objects;

/**
 * Identifies one process of a target; a restarted target may reuse its instance id.
 *
 * <p>Immutable and thread safe.
 *
 * @param instance the target's instance id
 * @param bornMilliseconds when the process started by its own clock, in Unix milliseconds, or {@link #UNSTATED}
 */
public record TargetStart(String instance, long bornMilliseconds) {

    /** The start time of a process that states none. */
    public static final long UNSTATED = 0;

    /** Throws a {@link NullPointerException} when the instance is null. */
    public TargetStart {
        Objects.requireNonNull(instance, "instance is null");
    }

    /** Returns whether this process started later than the other; false when their start times are equal. */
    public boolean isAfter(TargetStart other) {
        return bornMilliseconds > other.bornMilliseconds;
    }

    // Written out: the generated methods go through method handles, which are slow until they are compiled.

    @Override
    public boolean equals(Object other) {
        return this == other
                || (other instanceof TargetStart that
                        && instance.equals(that.instance)
                        && bornMilliseconds == that.bornMilliseconds);
    }

    @Override
    public int hashCode() {
        return 31 * instance.hashCode() + Long.hashCode(bornMilliseconds);
    }
}
