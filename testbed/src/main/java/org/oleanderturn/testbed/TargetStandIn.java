package org.oleanderturn.testbed;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.DecodeFailure;
import org.oleanderturn.proxy.HttpListener;
import org.oleanderturn.proxy.InboundRequest;
import org.oleanderturn.proxy.ListenerFailure;
import org.oleanderturn.proxy.ListenerLimits;
import org.oleanderturn.proxy.ProxyHeaders;
import org.oleanderturn.proxy.Response;

/**
 * A stand-in for a target: limits concurrent requests, sheds the excess, simulates stragglers and failures, and counts
 * how often it ran each booking.
 *
 * <p>A request whose path contains {@code download} is a download; one whose path contains {@code crash} halts the
 * process. Invariant: a download occupies its slot until its body is closed. Thread safe.
 */
public final class TargetStandIn implements AutoCloseable {
    private static final int BODY_LIMIT_BYTES = 1_000_000;
    private static final int DOWNLOAD_CHUNKS = 20;
    private static final int PERMILLE = 1_000;
    private static final int PERCENT = 100;

    private final String name;
    private final AtomicReference<TargetBehaviour> behaviour;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong shed = new AtomicLong();
    private final AtomicLong cancelled = new AtomicLong();
    private final Map<String, AtomicInteger> bookings = new ConcurrentHashMap<>();
    private HttpListener listener;

    private TargetStandIn(String name, TargetBehaviour behaviour) {
        this.name = name;
        this.behaviour = new AtomicReference<>(TargetBehaviour.check(behaviour));
    }

    /** Starts a target on a loopback port; 0 selects a free port. */
    public static Either<ListenerFailure, TargetStandIn> start(String name, int port, TargetBehaviour behaviour) {
        Objects.requireNonNull(name, "name is null");
        TargetStandIn target = new TargetStandIn(name, behaviour);
        return HttpListener.start("127.0.0.1", port, target::answer, ListenerLimits.defaults())
                .map(listener -> {
                    target.listener = listener;
                    return target;
                });
    }

    /** Returns the listener's port. */
    public int port() {
        return listener.address().port();
    }

    /** Returns how often each booking ran, by idempotency key; runs that failed or were cancelled count too. */
    public Map<String, Integer> bookings() {
        Map<String, Integer> counts = new TreeMap<>();
        bookings.forEach((key, count) -> counts.put(key, count.get()));
        return counts;
    }

    /**
     * Replaces the behaviour for requests that start from now on.
     *
     * @throws IllegalArgumentException when the slots or a factor are below 1
     */
    public void setBehaviour(TargetBehaviour next) {
        behaviour.set(TargetBehaviour.check(next));
    }

    @Override
    public void close() {
        listener.close();
    }

    // -- requests

    private Response answer(InboundRequest request) throws IOException {
        String path = request.path();
        return switch (path) {
            case "/health" -> Response.text(behaviour.get().isHealthy() ? 200 : 503, "text/plain", "\n");
            case "/load" ->
                Response.json(
                        200,
                        Map.of(
                                "running",
                                running.get(),
                                "slots",
                                behaviour.get().slots()));
            case "/admin/counts" -> Response.json(200, counts());
            case "/admin/behaviour" -> replaceBehaviour(request);
            default -> run(request);
        };
    }

    private Map<String, Object> counts() {
        return Map.of(
                "target", name,
                "served", served.get(),
                "shed", shed.get(),
                "cancelled", cancelled.get(),
                "running", running.get(),
                "bookings", bookings());
    }

    private Response replaceBehaviour(InboundRequest request) throws IOException {
        Optional<byte[]> body = request.readBody(BODY_LIMIT_BYTES);
        Either<DecodeFailure, TargetBehaviour> next = body.map(
                        bytes -> Codec.json().decode(bytes, TargetBehaviour.class))
                .orElseGet(() -> Either.left(DecodeFailure.of("", "body is too long")));
        if (next.isLeft()) {
            return Response.json(400, next.getLeft());
        }
        setBehaviour(next.get());
        return Response.json(200, next.get());
    }

    private Response run(InboundRequest request) throws IOException {
        byte[] body = request.readBody(BODY_LIMIT_BYTES).orElse(new byte[0]);
        TargetBehaviour current = behaviour.get();
        if (running.incrementAndGet() > current.slots()) {
            running.decrementAndGet();
            shed.incrementAndGet();
            return Response.text(503, "text/plain", "no slot is free\n")
                    .withHeader(ProxyHeaders.OUTCOME, "not-run")
                    .withHeader(ProxyHeaders.RETRY_AFTER, 1);
        }
        boolean isDownload = request.path().contains("download");
        try {
            Response answer = serve(request, body, current, isDownload);
            if (isDownload) {
                running.incrementAndGet();
            }
            return answer;
        } finally {
            running.decrementAndGet();
        }
    }

    private Response serve(InboundRequest request, byte[] body, TargetBehaviour current, boolean isDownload)
            throws IOException {
        if (request.path().contains("crash")) {
            Runtime.getRuntime().halt(1);
        }
        request.header(ProxyHeaders.IDEMPOTENCY_KEY).ifPresent(this::recordBooking);
        Thread worker = Thread.currentThread();
        request.onPeerDisconnect(worker::interrupt);
        if (!simulateWork(current)) {
            cancelled.incrementAndGet();
            return Response.text(503, "text/plain", "cancelled\n");
        }
        served.incrementAndGet();
        if (ThreadLocalRandom.current().nextInt(PERCENT) < current.failPercent()) {
            return Response.text(500, "text/plain", "failed\n");
        }
        if (isDownload) {
            return Response.of(
                    200, List.of(), new Response.Body.Streamed(current.downloadBytes(), new DownloadBody(current)));
        }
        String text = "%s %s %s %d bytes%n".formatted(name, request.method(), request.path(), body.length);
        return Response.text(200, "text/plain", text);
    }

    private void recordBooking(String key) {
        bookings.computeIfAbsent(key, _ -> new AtomicInteger()).incrementAndGet();
    }

    private static boolean simulateWork(TargetBehaviour current) {
        boolean isStraggler = ThreadLocalRandom.current().nextInt(PERMILLE) < current.stragglerPermille();
        long factor = (long) current.slowFactor() * (isStraggler ? current.stragglerFactor() : 1);
        try {
            Thread.sleep(current.serviceMilliseconds() * factor);
            return true;
        } catch (InterruptedException interrupt) {
            return false;
        }
    }

    /** A body that is sent at an even rate over the download time. */
    private final class DownloadBody implements Response.BodySource {
        private final TargetBehaviour behaviour;
        private boolean isOpen = true;

        DownloadBody(TargetBehaviour behaviour) {
            this.behaviour = behaviour;
        }

        @Override
        public void writeTo(OutputStream output) throws IOException {
            byte[] chunk = "0123456789abcdef"
                    .repeat(behaviour.downloadBytes() / 16 / DOWNLOAD_CHUNKS + 1)
                    .getBytes(StandardCharsets.UTF_8);
            int remainingBytes = behaviour.downloadBytes();
            while (remainingBytes > 0) {
                int count = Math.min(remainingBytes, chunk.length);
                output.write(chunk, 0, count);
                output.flush();
                remainingBytes -= count;
                pause();
            }
        }

        private void pause() throws IOException {
            try {
                Thread.sleep(behaviour.downloadMilliseconds() / DOWNLOAD_CHUNKS);
            } catch (InterruptedException interrupt) {
                throw new IOException("the caller disconnected", interrupt);
            }
        }

        @Override
        public void close() {
            if (isOpen) {
                isOpen = false;
                running.decrementAndGet();
            }
        }
    }
}
