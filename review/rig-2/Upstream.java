import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in of an upstream with one process at a time: it reports to the node of its machine and runs each request for a fixed
 * time. Thread safe.
 */
final class Upstream implements AutoCloseable {
    private static final int TIMEOUT_MILLISECONDS = 1_000;
    private static final long HEARTBEAT_MILLISECONDS = 1_500;
    private static final long BACK_MILLISECONDS = 2_000;

    /** A request that the upstream began to run. */
    record Run(double seconds, String instance, String method, String path, String attempt, String caller, byte[] body) {}

    private final String service;
    private final String zone;
    private final int port;
    private final int control;
    private final long workMilliseconds;
    private final Record record;
    private final ServerSocket listener;
    private final List<Run> runs = new CopyOnWriteArrayList<>();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final AtomicInteger running = new AtomicInteger();
    private volatile String instance = "";
    private volatile long born;
    private volatile long sequence;
    private volatile String state = "ready";
    private volatile String healthPath = "/healthz";
    private volatile boolean isHealthLengthStated = true;
    private volatile String crashingPath = "";
    private volatile boolean isReporting;
    private volatile boolean isUp;

    Upstream(String service, String zone, int port, int control, long workMilliseconds, Record record) throws IOException {
        this.service = service;
        this.zone = zone;
        this.port = port;
        this.control = control;
        this.workMilliseconds = workMilliseconds;
        this.record = record;
        this.listener = new ServerSocket(port, 512, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
        Thread.ofVirtual().start(this::report);
    }

    String instance() {
        return instance;
    }

    List<Run> runs() {
        return new ArrayList<>(runs);
    }

    /** Starts a process that reports the given moment as its start, in Unix milliseconds. */
    void start(String id, long bornMilliseconds) {
        record.write("upstream %s of %s starts, born %d", id, service, bornMilliseconds);
        instance = id;
        born = bornMilliseconds;
        sequence = 0;
        state = "ready";
        isUp = true;
        isReporting = true;
        heartbeat();
    }

    /** Sets the path of the requests that crash each process that begins to run them; it is back after some time. */
    void crashAt(String path) {
        crashingPath = path;
    }

    boolean isCrashing() {
        return !crashingPath.isEmpty();
    }

    /**
     * Sets the path at which the next process answers health checks, any other being one of a request, and whether it states the
     * length of these answers or ends them with their connection.
     */
    void answerHealthAt(String path, boolean statesLength) {
        healthPath = path;
        isHealthLengthStated = statesLength;
    }

    /** Ends the process without notice. */
    void crash() {
        record.write("upstream %s of %s ends without notice", instance, service);
        isReporting = false;
        isUp = false;
        connections.forEach(Upstream::closeQuietly);
        connections.clear();
    }

    /** Reports that the process leaves; returns whether the node acknowledged it. */
    boolean drain() {
        state = "draining";
        return heartbeat();
    }

    /** Reports once; returns whether it was acknowledged. */
    boolean heartbeat() {
        String body = "{\"address\":\"127.0.0.1:" + port + "\",\"born\":" + born + ",\"info\":{\"service\":\"" + service
                + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":9},\"status\":{\"state\":\"" + state
                + "\",\"seq\":" + ++sequence + ",\"cold_remaining\":\"0ms\"}}";
        return call(Names.of("heartbeat") + instance, body, state);
    }

    private boolean call(String path, String body, String what) {
        try (Http.Connection connection = Http.Connection.open(control, TIMEOUT_MILLISECONDS)) {
            connection.send(
                    "POST " + path + " HTTP/1.1",
                    List.of("Host: 127.0.0.1:" + control, "Content-Type: application/json", "Connection: close"),
                    body.getBytes(StandardCharsets.UTF_8));
            int status = connection.receive().map(Http.Message::status).orElse(0);
            record.write("upstream %s reports %s, sequence %d: %d", instance, what, sequence, status);
            return status >= 200 && status < 300;
        } catch (IOException failed) {
            return false;
        }
    }

    private void report() {
        try {
            while (!listener.isClosed()) {
                if (isReporting) {
                    heartbeat();
                }
                Thread.sleep(HEARTBEAT_MILLISECONDS);
            }
        } catch (InterruptedException stop) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                if (!isUp) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                    continue;
                }
                connections.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (Http.Connection connection = Http.Connection.of(socket)) {
            Optional<Http.Message> request = connection.receive();
            while (request.isPresent()) {
                answer(connection, request.get());
                request = socket.isOutputShutdown() ? Optional.empty() : connection.receive();
            }
        } catch (IOException | InterruptedException ended) {
            // The node closed the connection.
        }
    }

    private void answer(Http.Connection connection, Http.Message request) throws IOException, InterruptedException {
        String[] start = request.start().split(" ");
        String serving = instance;
        String loadLine = Names.of("load") + ": " + running.get() + ",0,9";
        String instanceLine = Names.of("instance") + ": " + serving;
        if (start[1].equals(healthPath)) {
            String status = state.equals("ready") ? "200 OK" : "503 Service Unavailable";
            if (!isHealthLengthStated) {
                connection.sendToEnd("HTTP/1.1 " + status, List.of(instanceLine, loadLine));
                return;
            }
            connection.send("HTTP/1.1 " + status, List.of(instanceLine, loadLine), new byte[0]);
            return;
        }
        String attempt = request.header(Names.of("attempt")).orElse("");
        if (attempt.isEmpty()) {
            record.write("upstream %s gets %s %s without an id: 400", serving, start[0], start[1]);
            connection.send(
                    "HTTP/1.1 400 Bad Request", List.of(Names.of("not-executed") + ": 1", loadLine), new byte[0]);
            return;
        }
        String expected = request.header(Names.of("expected")).orElse(serving);
        if (!expected.equals(serving)) {
            connection.send(
                    "HTTP/1.1 421 Misdirected Request",
                    List.of(Names.of("attempt") + ": " + attempt, instanceLine),
                    new byte[0]);
            return;
        }
        String caller = request.header(Names.of("caller")).orElse("");
        runs.add(new Run(record.seconds(), serving, start[0], start[1], attempt, caller, request.body()));
        if (start[1].equals(crashingPath)) {
            crash();
            Deployment.pause(BACK_MILLISECONDS);
            start(serving, System.currentTimeMillis());
            return;
        }
        running.incrementAndGet();
        try {
            Thread.sleep(workMilliseconds);
        } finally {
            running.decrementAndGet();
        }
        connection.send(
                "HTTP/1.1 200 OK",
                List.of(
                        Names.of("attempt") + ": " + attempt,
                        Names.of("signature") + ": " + serving + "." + attempt,
                        loadLine,
                        "Content-Type: text/plain"),
                (service + " " + start[1]).getBytes(StandardCharsets.UTF_8));
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It has ended before.
        }
    }

    @Override
    public void close() throws IOException {
        isReporting = false;
        listener.close();
    }
}
