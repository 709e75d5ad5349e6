import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Passes bytes between one machine and the store. After a cut it passes none on, in either direction, and answers no new
 * connection; connections from before the cut are reset after three seconds, as keep-alive probes end them when a path is
 * gone. Thread safe.
 */
final class StoreProxy implements AutoCloseable {
    private static final int KEEP_ALIVE_MILLISECONDS = 3_000;

    private final ServerSocket server = new ServerSocket();
    private final String storeIp;
    private final int port;
    private final Record record;
    private final Set<Socket> nodeSides = ConcurrentHashMap.newKeySet();
    private volatile boolean isCut;

    StoreProxy(String ip, String storeIp, int port, Record record) throws IOException {
        this.storeIp = storeIp;
        this.port = port;
        this.record = record;
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(ip, port), 128);
        Thread.ofVirtual().start(this::accept);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket node = server.accept();
                nodeSides.add(node);
                if (!isCut) {
                    Socket store = new Socket(storeIp, port);
                    Thread.ofVirtual().start(() -> pass(node, store));
                    Thread.ofVirtual().start(() -> pass(store, node));
                }
            } catch (IOException closed) {
                // The server was closed, or the store did not accept.
            }
        }
    }

    private void pass(Socket from, Socket to) {
        byte[] buffer = new byte[16_384];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                if (!isCut) {
                    output.write(buffer, 0, count);
                    output.flush();
                }
            }
            if (!isCut) {
                to.close();
            }
        } catch (IOException ended) {
            // The other direction sees it, too.
        }
    }

    /** Cuts the machine off from the store. */
    void cut() {
        record.show("a machine is cut off from the store");
        isCut = true;
        Set<Socket> before = Set.copyOf(nodeSides);
        Thread.ofVirtual().start(() -> {
            Upstream.pause(KEEP_ALIVE_MILLISECONDS);
            before.forEach(StoreProxy::reset);
        });
    }

    /** Lets new connections through again, and resets those that waited. */
    void heal() {
        record.show("the machine reaches the store again");
        isCut = false;
        nodeSides.forEach(StoreProxy::reset);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException ended) {
            // It was closed before.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        nodeSides.forEach(StoreProxy::reset);
    }
}
