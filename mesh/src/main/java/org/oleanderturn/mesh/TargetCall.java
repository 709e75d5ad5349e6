package org.oleanderturn.mesh;

import java.util.Objects;
import java.util.OptionalLong;
import org.oleanderturn.model.Address;

/**
 * A call of a target to its node.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface TargetCall {
    /**
     * The periodic report of a target.
     *
     * @param address where the target listens
     */
    record Heartbeat(Address address, TargetReport report) implements TargetCall {

        /** Throws a {@link NullPointerException} when a component is null. */
        public Heartbeat {
            Objects.requireNonNull(address, "address is null");
            Objects.requireNonNull(report, "report is null");
        }
    }

    /**
     * The target accepts no new requests from now on and exits soon.
     *
     * @param instance the target's instance id
     * @param bornMilliseconds when the process started, in Unix milliseconds; empty for the process that reported last
     */
    record Deregistration(String instance, OptionalLong bornMilliseconds) implements TargetCall {

        /** Throws a {@link NullPointerException} when a component is null. */
        public Deregistration {
            Objects.requireNonNull(instance, "instance is null");
            Objects.requireNonNull(bornMilliseconds, "bornMilliseconds is null");
        }
    }

    /** A call that can't be decoded, which changes nothing. */
    record Malformed(String reason) implements TargetCall {

        /** Throws a {@link NullPointerException} when the reason is null. */
        public Malformed {
            Objects.requireNonNull(reason, "reason is null");
        }
    }
}
