package org.oleanderturn.node;

import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * A message on its way over one link after the other. A bounded part of it is under way at once, so that messages share a
 * link. Used by one task at a time.
 */
final class SimulatedTransfer {
    private static final int PARTS_UNDER_WAY = 4;

    /** A link and the delay after it. */
    record Hop(SimulatedLink link, Duration delay) {}

    /** What happens as the message arrives; {@code isAwaited} returns whether its connection is still open. */
    record Receiver(BooleanSupplier isAwaited, Runnable onFirstPart, Runnable onArrival) {}

    private final SimulatedTime time;
    private final List<Hop> hops;
    private final long bytes;
    private final long partBytes;
    private final Receiver receiver;
    private long sent;
    private long arrived;

    SimulatedTransfer(SimulatedTime time, List<Hop> hops, long bytes, long partBytes, Receiver receiver) {
        this.time = time;
        this.hops = List.copyOf(hops);
        this.bytes = bytes;
        this.partBytes = partBytes;
        this.receiver = receiver;
    }

    /** Sends as much as may be under way; ends when the connection is closed. */
    void send() {
        while (sent < bytes
                && sent - arrived < PARTS_UNDER_WAY * partBytes
                && receiver.isAwaited().getAsBoolean()) {
            long part = Math.min(partBytes, bytes - sent);
            sent += part;
            pass(0, part);
        }
    }

    private void pass(int hop, long part) {
        if (hop == hops.size()) {
            arrive(part);
            return;
        }
        long now = time.nanoseconds();
        long left = hops.get(hop).link().carry(now, part);
        time.at(Duration.ofNanos(left - now).plus(hops.get(hop).delay()), () -> pass(hop + 1, part));
    }

    private void arrive(long part) {
        if (arrived == 0) {
            receiver.onFirstPart().run();
        }
        arrived += part;
        if (arrived == bytes) {
            receiver.onArrival().run();
        } else {
            send();
        }
    }
}
