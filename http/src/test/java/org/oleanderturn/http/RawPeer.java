package org.oleanderturn.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A server on loopback that answers each request with a given text, byte for byte.
 *
 * <p>Thread safe.
 */
public final class RawPeer implements AutoCloseable {
    private static final int BACKLOG = 50;
    private static final String HEAD_END = "\r\n\r\n";
    private static final Pattern LENGTH = Pattern.compile("(?i)\r\nContent-Length: *([0-9]+)");
    private static final Pattern CHUNKED = Pattern.compile("(?i)\r\nTransfer-Encoding: *chunked");

    private final ServerSocket server;
    private final UnaryOperator<String> answers;
    private final BooleanSupplier isClosing;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    private RawPeer(ServerSocket server, UnaryOperator<String> answers, BooleanSupplier isClosing) {
        this.server = server;
        this.answers = answers;
        this.isClosing = isClosing;
    }

    /** Starts a peer that keeps its connections open. The operator returns the answer to the head of a request. */
    public static RawPeer keepingConnections(UnaryOperator<String> answers) throws IOException {
        return start(0, answers, () -> false);
    }

    /** Starts a peer that ends the connection after each answer. */
    public static RawPeer endingConnections(UnaryOperator<String> answers) throws IOException {
        return start(0, answers, () -> true);
    }

    /**
     * Starts a peer.
     *
     * @param port the port on loopback; 0 for any that is free
     * @param isClosing asked with each answer whether the peer ends its connection
     */
    public static RawPeer start(int port, UnaryOperator<String> answers, BooleanSupplier isClosing) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        RawPeer peer = new RawPeer(server, answers, isClosing);
        peer.executor.execute(peer::accept);
        return peer;
    }

    /** Returns the port on loopback. */
    public int port() {
        return server.getLocalPort();
    }

    @Override
    public void close() {
        closeQuietly(server);
        connections.forEach(RawPeer::closeQuietly);
        executor.shutdownNow();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = server.accept();
                connections.add(connection);
                executor.execute(() -> serve(connection));
            }
        } catch (IOException closed) {
            // The test has closed the peer.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream input = connection.getInputStream();
            for (Optional<String> head = readHead(input); head.isPresent(); head = readHead(input)) {
                skipBody(head.get(), input);
                byte[] answer = answers.apply(head.get()).getBytes(StandardCharsets.ISO_8859_1);
                // The receiver of the answer may change what follows for the next one.
                boolean isLast = isClosing.getAsBoolean();
                connection.getOutputStream().write(answer);
                if (isLast) {
                    connection.shutdownOutput();
                }
            }
        } catch (IOException closed) {
            // The client closes a connection whose answer it does not take.
        } finally {
            connections.remove(connection);
        }
    }

    private static Optional<String> readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(HEAD_END) < 0) {
            int next = input.read();
            if (next < 0) {
                return Optional.empty();
            }
            head.append((char) next);
        }
        return Optional.of(head.toString());
    }

    private static void skipBody(String head, InputStream input) throws IOException {
        Matcher length = LENGTH.matcher(head);
        if (length.find()) {
            input.skipNBytes(Long.parseLong(length.group(1)));
        } else if (CHUNKED.matcher(head).find()) {
            StringBuilder body = new StringBuilder("\r\n");
            while (body.indexOf("\r\n0" + HEAD_END) < 0) {
                body.append((char) input.read());
            }
        }
    }

    private static void closeQuietly(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception failed) {
            // Nothing is left to be closed.
        }
    }
}
