package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.oleanderturn.model.Address;

/**
 * A target on loopback that answers each connection with the same start and then with bytes until the peer closes. It gives
 * up after a number of bytes, so that a peer that never closes fails a test instead of blocking it. Thread safe.
 */
final class EndlessTarget implements AutoCloseable {
    private static final long GIVE_UP_BYTES = 64 * 1024 * 1024;

    private final ServerSocket server;
    private final ExecutorService executor;
    private final byte[] start;
    private final Supplier<byte[]> next;
    private final long giveUpBytes;
    private final AtomicInteger closedByPeer = new AtomicInteger();
    private final AtomicInteger givenUp = new AtomicInteger();
    private final CountDownLatch firstEnd = new CountDownLatch(1);

    private EndlessTarget(ExecutorService executor, byte[] start, Supplier<byte[]> next, long giveUpBytes)
            throws IOException {
        this.server = new ServerSocket(0);
        this.executor = executor;
        this.start = start;
        this.next = next;
        this.giveUpBytes = giveUpBytes;
    }

    /** Starts a target that sends the start once and then whatever the supplier returns, again and again. */
    static EndlessTarget start(ExecutorService executor, byte[] start, Supplier<byte[]> next) throws IOException {
        return start(executor, start, next, GIVE_UP_BYTES);
    }

    static EndlessTarget start(ExecutorService executor, byte[] start, Supplier<byte[]> next, long giveUpBytes)
            throws IOException {
        Objects.requireNonNull(executor, "executor is null");
        EndlessTarget target = new EndlessTarget(executor, start, next, giveUpBytes);
        executor.execute(target::acceptAll);
        return target;
    }

    // -- queries

    Address address() {
        return Address.of("127.0.0.1", server.getLocalPort());
    }

    /** Waits for the end of a connection, and returns whether its peer closed it while bytes were still being sent. */
    boolean awaitClosedByPeer() throws InterruptedException {
        return firstEnd.await(30, TimeUnit.SECONDS) && closedByPeer.get() > 0 && givenUp.get() == 0;
    }

    // -- commands

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                executor.execute(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            if (socket.getInputStream().read() < 0) {
                return;
            }
            OutputStream output = socket.getOutputStream();
            output.write(start);
            output.flush();
            long sent = 0;
            while (sent < giveUpBytes) {
                byte[] bytes = next.get();
                output.write(bytes);
                sent += bytes.length;
            }
            givenUp.incrementAndGet();
        } catch (IOException closed) {
            closedByPeer.incrementAndGet();
        } finally {
            firstEnd.countDown();
        }
    }
}
