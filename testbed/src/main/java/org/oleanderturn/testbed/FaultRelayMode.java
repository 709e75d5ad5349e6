package org.oleanderturn.testbed;

/**
 * How a relay treats its connections.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface FaultRelayMode {

    /** Bytes are forwarded without delay. */
    record Healed() implements FaultRelayMode {}

    /** Open connections are closed and new ones are refused. */
    record Cut() implements FaultRelayMode {}

    /** Connections stay open, but no bytes are forwarded until the mode changes. */
    record Frozen() implements FaultRelayMode {}

    /**
     * Each block of bytes is forwarded after a delay.
     *
     * @param milliseconds the delay; not negative
     */
    record Delayed(long milliseconds) implements FaultRelayMode {

        /** Throws {@link IllegalArgumentException} when the delay is negative. */
        public Delayed {
            if (milliseconds < 0) {
                throw new IllegalArgumentException("milliseconds is negative: " + milliseconds);
            }
        }
    }
}
