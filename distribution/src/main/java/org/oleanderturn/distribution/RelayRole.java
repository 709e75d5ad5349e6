package org.oleanderturn.distribution;

import java.util.OptionalInt;

/** Tells whether this node is one of the relays of its zone. Implementations are thread safe. */
@FunctionalInterface
public interface RelayRole {

    /** Returns the relay slot that this node holds at the given time; empty when it is not a relay. */
    OptionalInt slot(long nowMilliseconds);

    /** Returns whether this node is a relay at the given time. */
    default boolean isRelay(long nowMilliseconds) {
        return slot(nowMilliseconds).isPresent();
    }
}
