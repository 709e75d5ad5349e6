package org.oleanderturn.traffic;

import java.time.Duration;
import java.util.Optional;

/** How a thread waits for the decision on a ticket. Implementations are thread safe. */
@FunctionalInterface
public interface SlotWait {

    /** Blocks until the decision; empty if the timeout expires first. */
    Optional<SlotDecision> await(SlotTicket ticket, Duration timeout) throws InterruptedException;
}
