import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A plain HTTP/1.1 server and client over sockets. Thread safe. */
final class Http {
    /** A request or a response; the first line is split at spaces. */
    record Message(String[] first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        int status() {
            return Integer.parseInt(first[1]);
        }
    }

    record Reply(int status, Map<String, String> headers, byte[] body) {
        static Reply json(int status, Object value) {
            return new Reply(
                    status,
                    Map.of("Content-Type", "application/json"),
                    Json.write(value).getBytes(StandardCharsets.UTF_8));
        }

        static Reply empty(int status) {
            return new Reply(status, Map.of(), new byte[0]);
        }
    }

    /** Handles a request; an empty reply closes the connection. */
    interface Handler {
        Optional<Reply> handle(Message request, Socket connection) throws Exception;
    }

    /** A listening server. */
    static final class Server implements AutoCloseable {
        private final ServerSocket socket;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

        Server(String ip, int port, Handler handler) throws IOException {
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(ip, port), 512);
            Thread.ofVirtual().start(() -> accept(handler));
        }

        private void accept(Handler handler) {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    connections.add(connection);
                    Thread.ofVirtual().start(() -> serve(connection, handler));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket connection, Handler handler) {
            try (connection) {
                connection.setTcpNoDelay(true);
                InputStream input = new BufferedInputStream(connection.getInputStream());
                while (true) {
                    Message request = read(input);
                    Optional<Reply> reply = handler.handle(request, connection);
                    if (reply.isEmpty()) {
                        return;
                    }
                    write(connection.getOutputStream(), reply.get());
                }
            } catch (Exception ended) {
                // The peer has left.
            } finally {
                connections.remove(connection);
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket connection : connections) {
                connection.close();
            }
        }
    }

    private static void write(OutputStream output, Reply reply) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + reply.status() + " X\r\n");
        reply.headers().forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + reply.body().length + "\r\n\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(reply.body());
        output.write(bytes.toByteArray());
        output.flush();
    }

    static Message read(InputStream input) throws IOException {
        String first = line(input);
        Map<String, String> headers = new TreeMap<>();
        for (String next = line(input); !next.isEmpty(); next = line(input)) {
            int colon = next.indexOf(':');
            headers.put(
                    next.substring(0, colon).toLowerCase(Locale.ROOT),
                    next.substring(colon + 1).strip());
        }
        byte[] body = new byte[0];
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            int size = Integer.parseInt(line(input).strip(), 16);
            while (size > 0) {
                bytes.write(whole(input, size));
                line(input);
                size = Integer.parseInt(line(input).strip(), 16);
            }
            line(input);
            body = bytes.toByteArray();
        } else if (headers.containsKey("content-length")) {
            body = whole(input, Integer.parseInt(headers.get("content-length")));
        }
        return new Message(first.split(" ", 3), headers, body);
    }

    private static byte[] whole(InputStream input, int size) throws IOException {
        byte[] bytes = input.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the body ended early");
        }
        return bytes;
    }

    private static String line(InputStream input) throws IOException {
        StringBuilder result = new StringBuilder();
        int next = input.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                result.append((char) next);
            }
            next = input.read();
        }
        if (next < 0) {
            throw new EOFException("closed");
        }
        return result.toString();
    }

    /** Sends one request on a new connection from the given address, and returns the answer. */
    static Message call(
            String fromIp, String ip, int port, String method, String path, List<String> headers, byte[] body, int timeout)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(fromIp), 0));
            socket.connect(new InetSocketAddress(ip, port), Math.min(timeout, 1_000));
            socket.setSoTimeout(timeout);
            socket.setTcpNoDelay(true);
            send(socket.getOutputStream(), method, path, ip + ":" + port, headers, body);
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    static void send(
            OutputStream output, String method, String path, String host, List<String> headers, byte[] body)
            throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add(method + " " + path + " HTTP/1.1");
        if (headers.stream().noneMatch(header -> header.startsWith("Host:"))) {
            lines.add("Host: " + host);
        }
        lines.addAll(headers);
        if (body.length > 0) {
            lines.add("Content-Length: " + body.length);
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write((String.join("\r\n", lines) + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        output.write(bytes.toByteArray());
        output.flush();
    }

    private Http() {}
}
