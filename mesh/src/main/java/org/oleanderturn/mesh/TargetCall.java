package org.oleanderturn.mesh;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * What a target calls its node for.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface TargetCall {
    /** A heartbeat. */
    record Heartbeat(TargetReport report) implements TargetCall {

        /** Checks that the report is there. */
        public Heartbeat {
            Objects.requireNonNull(report, "report is null");
        }
    }

    /**
     * The target takes no new work from now on and ends soon.
     *
     * @param bornMilliseconds the moment of its start; absent when it means whichever start is known
     */
    record Deregistration(String instance, OptionalLong bornMilliseconds) implements TargetCall {

        /** Checks that every part is there. */
        public Deregistration {
            Objects.requireNonNull(instance, "instance is null");
            Objects.requireNonNull(bornMilliseconds, "bornMilliseconds is null");
        }
    }

    /** A call that can't be read, which changes nothing. */
    record Malformed(String reason) implements TargetCall {

        /** Checks that the reason is there. */
        public Malformed {
            Objects.requireNonNull(reason, "reason is null");
        }
    }
}
