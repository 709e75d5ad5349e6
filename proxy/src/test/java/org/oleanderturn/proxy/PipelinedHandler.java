package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Answers each request with its path, once the test has released the path or the client has left. Thread safe. */
final class PipelinedHandler implements RequestHandler {
    private static final long WAIT_SECONDS = 20;

    /** More than sockets hold, so that the write of such a response waits for the client. */
    private static final int BIG_BYTES = 30_000_000;

    private final Map<String, CountDownLatch> holds = new ConcurrentHashMap<>();
    private final Map<String, Runnable> actions = new ConcurrentHashMap<>();
    private final Map<String, Duration> readDelays = new ConcurrentHashMap<>();
    private final Map<String, Duration> coreDelays = new ConcurrentHashMap<>();
    private final Set<String> started = ConcurrentHashMap.newKeySet();
    private final Set<String> cancelled = ConcurrentHashMap.newKeySet();
    private final Queue<String> order = new ConcurrentLinkedQueue<>();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger mostRunning = new AtomicInteger();

    @Override
    public Response handle(InboundRequest request) throws IOException {
        String path = request.path();
        readDelays.put(path, request.readDelay());
        coreDelays.put(path, request.coreDelay());
        order.add(path);
        mostRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
        started.add(path);
        try {
            request.readBody(10_000_000);
            CountDownLatch hold = holds.computeIfAbsent(path, _ -> new CountDownLatch(0));
            request.onPeerDisconnect(() -> {
                cancelled.add(path);
                hold.countDown();
            });
            await(hold);
        } finally {
            running.decrementAndGet();
        }
        if (path.startsWith("/fails")) {
            throw new IOException("the handler failed");
        }
        if (path.startsWith("/big")) {
            return Response.text(200, "text/plain", "x".repeat(BIG_BYTES));
        }
        if (actions.containsKey(path)) {
            return Response.of(200, List.of(), streamed(path));
        }
        return Response.text(path.startsWith("/busy") ? 503 : 200, "text/plain", path);
    }

    private Response.Body streamed(String path) {
        return new Response.Body.Streamed(path.length(), new Response.BodySource() {
            @Override
            public void writeTo(OutputStream output) throws IOException {
                actions.get(path).run();
                output.write(path.getBytes(StandardCharsets.US_ASCII));
            }

            @Override
            public void close() {
                // Nothing is held.
            }
        });
    }

    /** Runs an action while the response to the requests with a path is written, after its head. */
    void runWhileWriting(String path, Runnable action) {
        actions.put(path, action);
    }

    /** Lets the requests with a path wait until it is released. */
    void hold(String... paths) {
        for (String path : paths) {
            holds.put(path, new CountDownLatch(1));
        }
    }

    void release(String path) {
        holds.get(path).countDown();
    }

    boolean hasStarted(String path) {
        return started.contains(path);
    }

    boolean isCancelled(String path) {
        return cancelled.contains(path);
    }

    Duration readDelay(String path) {
        return readDelays.get(path);
    }

    Duration coreDelay(String path) {
        return coreDelays.get(path);
    }

    Queue<String> order() {
        return order;
    }

    int mostRunning() {
        return mostRunning.get();
    }

    private static void await(CountDownLatch latch) {
        try {
            var _ = latch.await(WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
    }
}
