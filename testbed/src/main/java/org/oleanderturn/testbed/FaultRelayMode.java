package org.oleanderturn.testbed;

/**
 * What a relay does to the connections that pass through it.
 *
 * <p>Immutable and thread safe.
 */
public sealed interface FaultRelayMode {

    /** Bytes pass as they come. */
    record Healed() implements FaultRelayMode {}

    /** Every connection is broken and new ones are refused. */
    record Cut() implements FaultRelayMode {}

    /** Connections stay, and bytes are held until the relay is healed. */
    record Frozen() implements FaultRelayMode {}

    /**
     * Bytes pass late.
     *
     * @param milliseconds how late
     */
    record Delayed(long milliseconds) implements FaultRelayMode {

        /** Checks the span. */
        public Delayed {
            if (milliseconds < 0) {
                throw new IllegalArgumentException("milliseconds is negative: " + milliseconds);
            }
        }
    }
}
