package org.oleanderturn.testbed;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Codec;
import org.oleanderturn.wire.Frame;

/**
 * Counts the messages about configuration versions that each node sends and receives, and the bytes of their frames.
 *
 * <p>Messages are recognised by the type tags at the start of their payloads. Invariant: counters never decrease. Thread
 * safe.
 */
final class BenchVersionTraffic {
    private static final int TYPE_PREFIX_BYTES = 160;
    private static final int FRAME_PREFIX_BYTES = Integer.BYTES;

    private final Map<Address, Counters> nodes = new ConcurrentHashMap<>();

    /**
     * What a node sent and received.
     *
     * @param messages the number of requests and answers
     * @param bytes the bytes of their frames
     */
    record Count(long messages, long bytes) {

        Count minus(Count earlier) {
            return new Count(messages - earlier.messages, bytes - earlier.bytes);
        }
    }

    /** Counts a frame if it carries a message about configuration versions. */
    void record(Address from, Address to, Frame frame) {
        if (isAboutVersions(frame)) {
            long bytes = FRAME_PREFIX_BYTES + (long) Codec.messagePack().encode(frame).length;
            counters(from).add(bytes);
            counters(to).add(bytes);
        }
    }

    /** Returns what a node has sent and received since the start. */
    Count of(Address node) {
        Counters counters = counters(node);
        return new Count(counters.messages.sum(), counters.bytes.sum());
    }

    private static boolean isAboutVersions(Frame frame) {
        byte[] payload = frame.payload();
        String prefix =
                new String(payload, 0, Math.min(payload.length, TYPE_PREFIX_BYTES), StandardCharsets.ISO_8859_1);
        return prefix.contains("Push") || prefix.contains("Update") || prefix.contains("Fetch");
    }

    private Counters counters(Address node) {
        return nodes.computeIfAbsent(node, _ -> new Counters());
    }

    private static final class Counters {
        private final LongAdder messages = new LongAdder();
        private final LongAdder bytes = new LongAdder();

        private void add(long frameBytes) {
            messages.increment();
            bytes.add(frameBytes);
        }
    }
}
