package org.oleanderturn.node;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the bytes of the messages by which nodes exchange versions of the configuration, as they are on the wire and
 * without the headers of frames.
 *
 * <p>Thread safe.
 */
final class ConfigurationTraffic {
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();

    // -- queries

    long sentBytes() {
        return sentBytes.sum();
    }

    long receivedBytes() {
        return receivedBytes.sum();
    }

    // -- commands

    void addSent(ControlMessage message, int bytes) {
        if (isAboutConfiguration(message)) {
            sentBytes.add(bytes);
        }
    }

    void addReceived(ControlMessage message, int bytes) {
        if (isAboutConfiguration(message)) {
            receivedBytes.add(bytes);
        }
    }

    private static boolean isAboutConfiguration(ControlMessage message) {
        return message instanceof ControlMessage.Fetch
                || message instanceof ControlMessage.Update
                || message instanceof ControlMessage.Push
                || message instanceof ControlMessage.Pushed;
    }
}
