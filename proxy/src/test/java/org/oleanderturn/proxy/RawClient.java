package org.oleanderturn.proxy;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.oleanderturn.model.Address;

/** A client that writes bytes to a socket and reads responses from it. Not thread safe. */
final class RawClient implements AutoCloseable {
    private static final int TIMEOUT_MILLISECONDS = 20_000;

    private final Socket socket;
    private final InputStream input;

    RawClient(Address address) throws IOException {
        socket = new Socket(address.host(), address.port());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MILLISECONDS);
        input = new BufferedInputStream(socket.getInputStream());
    }

    /** Returns the head of a GET request. */
    static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: example\r\n\r\n";
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns the status, whether the response closes the connection, and the body; "end" at the end. */
    String readResponse() throws IOException {
        String statusLine = readLine();
        if (statusLine.isEmpty()) {
            return "end";
        }
        int length = 0;
        boolean isClosing = false;
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            String lower = line.toLowerCase(Locale.ROOT);
            isClosing |= lower.equals("connection: close");
            length = lower.startsWith("content-length:")
                    ? Integer.parseInt(lower.substring(lower.indexOf(':') + 1).strip())
                    : length;
        }
        String body = new String(input.readNBytes(length), StandardCharsets.ISO_8859_1);
        return statusLine.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length())
                + (isClosing ? " close " : " ")
                + body;
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        int next = input.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.append((char) next);
            }
            next = input.read();
        }
        return line.toString();
    }

    void endOutput() throws IOException {
        socket.shutdownOutput();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
