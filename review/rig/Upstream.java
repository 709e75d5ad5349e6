import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound upstream: runs requests, reports each heartbeat to the node of its machine, and leaves when told. Thread safe. */
final class Upstream implements AutoCloseable {
    /** A request that began to run. */
    record Run(long milliseconds, String attempt, String method, String path) {}

    private static final int SLOTS = 18;
    static final int BEAT_MILLISECONDS = 870;
    private static final int ACK_MILLISECONDS = 1_000;

    final String id;
    final long born;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Machine machine;
    final String service;
    private final int workMilliseconds;
    private final Record record;
    private final Http.Server server;
    private final AtomicInteger running = new AtomicInteger();
    private volatile boolean isLeaving;
    private volatile boolean isBeating = true;
    private long sequence;

    Upstream(Machine machine, String service, String id, int workMilliseconds, Record record) throws IOException {
        this.machine = machine;
        this.service = service;
        this.id = id;
        this.workMilliseconds = workMilliseconds;
        this.record = record;
        this.born = System.currentTimeMillis();
        this.server = new Http.Server(machine.ip(), Machine.APP, this::answer);
        Thread.ofVirtual().start(this::beat);
    }

    // -- requests

    private Optional<Http.Reply> answer(Http.Message request, Socket connection) throws Exception {
        String path = request.first()[1];
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put(Names.of("load"), running.get() + ",0," + SLOTS);
        if (path.equals("/healthz")) {
            headers.put(Names.of("instance"), id);
            return Optional.of(new Http.Reply(isLeaving ? 503 : 200, headers, new byte[0]));
        }
        String attempt = request.header(Names.of("attempt"));
        headers.put(Names.of("attempt"), attempt);
        String expected = request.header(Names.of("expected-instance"));
        if (!expected.isEmpty() && !expected.equals(id)) {
            headers.put(Names.of("instance"), id);
            record.line("%s turns %s away with 421, it expects %s", id, attempt, expected);
            return Optional.of(new Http.Reply(421, headers, new byte[0]));
        }
        if (running.incrementAndGet() > SLOTS) {
            running.decrementAndGet();
            headers.put(Names.of("not-executed"), "1");
            return Optional.of(new Http.Reply(503, headers, new byte[0]));
        }
        try {
            runs.add(new Run(record.now(), attempt, request.first()[0], path));
            record.line("%s runs %s %s %s", id, attempt, request.first()[0], path);
            Thread.sleep(workMilliseconds);
            headers.put(Names.of("signature"), "r." + attempt);
            return Optional.of(new Http.Reply(200, headers, ("done by " + id).getBytes(StandardCharsets.UTF_8)));
        } finally {
            running.decrementAndGet();
        }
    }

    // -- calls to the node

    /** Returns the body of a heartbeat with the next sequence number. */
    synchronized String heartbeat(String state) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("address", machine.ip() + ":" + Machine.APP);
        body.put(
                "info", new LinkedHashMap<>(Map.of("service", service, "version", "v1", "zone", machine.zone(), "slots", SLOTS)));
        body.put("status", new LinkedHashMap<>(Map.of("state", state, "seq", ++sequence, "cold_remaining", "0ms")));
        body.put("born", born);
        return Json.write(body);
    }

    private void beat() {
        while (isBeating) {
            send(heartbeat(isLeaving ? "draining" : "ready"));
            pause(BEAT_MILLISECONDS);
        }
    }

    /** Sends a heartbeat; returns when it was acknowledged, or empty. */
    Optional<Long> send(String body) {
        return call(Names.of("heartbeat") + id, body);
    }

    private Optional<Long> call(String path, String body) {
        try {
            Http.Message answer = Http.call(
                    machine.ip(),
                    machine.ip(),
                    Machine.CONTROL,
                    "POST",
                    path,
                    List.of("Content-Type: application/json"),
                    body.getBytes(StandardCharsets.UTF_8),
                    ACK_MILLISECONDS);
            record.line("%s sends %s %s -> %d", id, path, body, answer.status());
            return answer.status() / 100 == 2 ? Optional.of(record.now()) : Optional.empty();
        } catch (IOException lost) {
            record.line("%s sends %s %s -> no answer", id, path, body);
            return Optional.empty();
        }
    }

    /** Reports that it drains, until that is acknowledged; returns when it was. */
    long drain() {
        isLeaving = true;
        return untilAcknowledged(Names.of("heartbeat") + id, heartbeat("draining"));
    }

    /** Deregisters without having reported that it drains; goes on serving. Returns when that was acknowledged. */
    long deregister() {
        isLeaving = true;
        isBeating = false;
        return untilAcknowledged(Names.of("deregister") + id, Json.write(Map.of("born", born)));
    }

    private long untilAcknowledged(String path, String body) {
        Optional<Long> acknowledged = call(path, body);
        while (acknowledged.isEmpty()) {
            pause(200);
            acknowledged = call(path, body);
        }
        return acknowledged.get();
    }

    /** Stops to report, so that a caller can send its heartbeats late. */
    void stopBeating() {
        isBeating = false;
    }

    @Override
    public void close() throws IOException {
        isBeating = false;
        server.close();
        record.show("%s has ended", id);
    }

    static void pause(long milliseconds) {
        try {
            Thread.sleep(Math.max(0, milliseconds));
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
    }
}
