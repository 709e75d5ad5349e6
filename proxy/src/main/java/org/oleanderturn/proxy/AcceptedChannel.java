package org.oleanderturn.proxy;

import java.io.IOException;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Objects;

/**
 * An accepted channel whose peer's disconnect can be detected while a request is being served.
 *
 * <p>Thread safe, but for the restrictions of {@link LookaheadInputStream}.
 */
final class AcceptedChannel {
    private final SocketChannel channel;
    private final LookaheadInputStream input;

    private AcceptedChannel(SocketChannel channel, LookaheadInputStream input) {
        this.channel = channel;
        this.input = input;
    }

    /** Returns an accepted channel, which sends small writes at once. */
    static AcceptedChannel of(SocketChannel channel) throws IOException {
        Objects.requireNonNull(channel, "channel is null");
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        LookaheadInputStream input =
                LookaheadInputStream.of(channel.socket().getInputStream(), buffer -> readArrived(channel, buffer));
        return new AcceptedChannel(channel, input);
    }

    private static int readArrived(SocketChannel channel, ByteBuffer buffer) throws IOException {
        channel.configureBlocking(false);
        try {
            return channel.read(buffer);
        } finally {
            channel.configureBlocking(true);
        }
    }

    /** Returns whether the peer has the address that it connected to. */
    boolean isFromOwnHost() {
        Socket socket = channel.socket();
        return socket.getInetAddress() != null && socket.getInetAddress().equals(socket.getLocalAddress());
    }

    Socket socket() {
        return channel.socket();
    }

    LookaheadInputStream input() {
        return input;
    }

    /** Returns whether bytes have arrived that have not been read. */
    boolean hasInput() throws IOException {
        return input.available() > 0;
    }

    void close() {
        IoUtilities.closeQuietly(channel);
    }
}
