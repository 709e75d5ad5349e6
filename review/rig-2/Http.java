import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads and writes HTTP/1.1 messages with a length or in chunks. Stateless and thread safe. */
final class Http {
    private static final int CONNECT_MILLISECONDS = 1_000;

    private Http() {}

    /** A request or a response: its first line, its header lines and its body. */
    record Message(String start, List<String> headers, byte[] body) {

        Optional<String> header(String name) {
            return headers.stream()
                    .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                    .map(line -> line.substring(name.length() + 1).strip())
                    .findFirst();
        }

        /** Returns the status of a response. */
        int status() {
            return Integer.parseInt(start.split(" ", 3)[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A connection with its buffered input. */
    record Connection(Socket socket, InputStream input) implements AutoCloseable {

        static Connection of(Socket socket) throws IOException {
            socket.setTcpNoDelay(true);
            return new Connection(socket, new BufferedInputStream(socket.getInputStream()));
        }

        static Connection open(int port, int timeoutMilliseconds) throws IOException {
            Socket socket = new Socket();
            try {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MILLISECONDS);
                socket.setSoTimeout(timeoutMilliseconds);
                return of(socket);
            } catch (IOException cause) {
                socket.close();
                throw cause;
            }
        }

        /** Sends a message and flushes it. */
        void send(String start, List<String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(start).append("\r\n");
            headers.forEach(line -> head.append(line).append("\r\n"));
            if (body.length > 0 || start.startsWith("HTTP/") || start.startsWith("POST")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("\r\n");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            OutputStream output = socket.getOutputStream();
            output.write(bytes.toByteArray());
            output.flush();
        }

        /** Sends an answer without a length and without a body, which ends with the output of the connection. */
        void sendToEnd(String start, List<String> headers) throws IOException {
            StringBuilder head = new StringBuilder(start).append("\r\n");
            headers.forEach(line -> head.append(line).append("\r\n"));
            head.append("\r\n");
            OutputStream output = socket.getOutputStream();
            output.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
            socket.shutdownOutput();
        }

        /** Receives a message; empty if the connection ended before its first byte. */
        Optional<Message> receive() throws IOException {
            String start = line(input);
            if (start.isEmpty()) {
                return Optional.empty();
            }
            List<String> headers = new ArrayList<>();
            for (String next = line(input); !next.isEmpty(); next = line(input)) {
                headers.add(next);
            }
            Message head = new Message(start, headers, new byte[0]);
            boolean isChunked =
                    head.header("Transfer-Encoding").filter("chunked"::equalsIgnoreCase).isPresent();
            int length = head.header("Content-Length").map(Integer::parseInt).orElse(0);
            byte[] body = isChunked ? chunks() : exactly(length);
            return Optional.of(new Message(start, headers, body));
        }

        private byte[] exactly(int length) throws IOException {
            byte[] bytes = input.readNBytes(length);
            if (bytes.length < length) {
                throw new EOFException("the connection ended within a body");
            }
            return bytes;
        }

        private byte[] chunks() throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int size = Integer.parseInt(line(input).strip(), 16);
            while (size > 0) {
                body.write(exactly(size));
                line(input);
                size = Integer.parseInt(line(input).strip(), 16);
            }
            line(input);
            return body.toByteArray();
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // Nothing is expected of the connection any more.
            }
        }
    }

    private static String line(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = input.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                bytes.write(next);
            }
            next = input.read();
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }
}
