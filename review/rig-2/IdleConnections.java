import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Requesters that open a connection for each request and leave it open: the node has to close those that are idle for longer
 * than the limit in force, and to go on taking new ones while it says that it is ready.
 */
final class IdleConnections {
    private static final String HOST = "yard.example";
    private static final int REQUESTS_PER_SECOND = 34;
    private static final int LOAD_SECONDS = 76;
    private static final int JUDGED_SECONDS = 8;
    private static final int STABLE_WINDOW_MILLISECONDS = 3_000;
    private static final int REQUESTERS = 8;
    private static final int IDLE_LIMIT_MILLISECONDS = 15_000;
    private static final int TIMEOUT_MILLISECONDS = 4_000;

    /** A connection that a requester left open. */
    private record Idle(Http.Connection connection, long answeredNanoseconds) {}

    private final Deployment.Machine machine;
    private final Record record;
    private final boolean isLeftOpen;
    private final ConcurrentLinkedQueue<Idle> idle = new ConcurrentLinkedQueue<>();
    private final AtomicInteger number = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger closedByNode = new AtomicInteger();
    private final AtomicLong lastTakenNanoseconds = new AtomicLong(System.nanoTime());

    private IdleConnections(Deployment.Machine machine, Record record, boolean isLeftOpen) {
        this.machine = machine;
        this.record = record;
        this.isLeftOpen = isLeftOpen;
    }

    public static void main(String[] arguments) throws IOException {
        boolean isTrouble = arguments[2].equals("1");
        try (Record record = new Record(Path.of(arguments[1]));
                Deployment deployment = new Deployment(Path.of(arguments[0]), record)) {
            Deployment.Machine first = deployment.add("sidecar-hobart-1", "availability", "south", "hobart", 50);
            Deployment.Machine second = deployment.add("sidecar-huonville-1", "availability", "south", "huonville", 50);
            deployment.store().put(
                    Names.of("configuration"),
                    Configurations.of(
                            3,
                            Configurations.service("availability"),
                            HOST,
                            Configurations.route("r-stock", "/stock/", "idempotent", "availability")));
            deployment.startNodes();
            first.upstream().start("i-1", System.currentTimeMillis());
            second.upstream().start("i-2", System.currentTimeMillis());
            Deployment.pause(3_000);
            deployment.order("verdict " + new IdleConnections(first, record, isTrouble).run());
        }
        System.exit(0);
    }

    private int run() {
        load();
        if (answered.get() == 0) {
            return 2;
        }
        return judge();
    }

    // -- load

    private void load() {
        long started = System.nanoTime();
        int sent = 0;
        for (int second = 1; second <= LOAD_SECONDS; second++) {
            while (sent < second * REQUESTS_PER_SECOND) {
                long due = started + sent * 1_000_000_000L / REQUESTS_PER_SECOND;
                Deployment.pause(Math.max(0, (due - System.nanoTime()) / 1_000_000));
                sent++;
                Thread.ofVirtual().start(this::request);
            }
            if (second % 4 == 0) {
                write(sent);
            }
        }
    }

    private void write(int sent) {
        long limit = System.nanoTime() - IDLE_LIMIT_MILLISECONDS * 1_000_000L;
        long overdue = idle.stream().filter(one -> one.answeredNanoseconds - limit < 0).count();
        record.write(
                "sent %d, answered %d, not answered %d; connections open %d, idle past the limit %d, closed by the node %d;"
                        + " node says ready: %s",
                sent,
                answered.get(),
                unanswered.get(),
                idle.size(),
                overdue,
                closedByNode.get(),
                Deployment.isReady(machine));
    }

    /** Waits until the node closes a connection, and closes it then, as sound requesters do. */
    private void awaitEnd(Idle one) {
        try (Http.Connection connection = one.connection) {
            connection.socket().setSoTimeout(0);
            connection.receive();
            closedByNode.incrementAndGet();
        } catch (IOException ended) {
            closedByNode.incrementAndGet();
        } finally {
            idle.remove(one);
        }
    }

    /** Sends a request on a connection of its own; returns whether it was answered. */
    private boolean request() {
        String attempt = "a" + number.incrementAndGet();
        try {
            Http.Connection connection = Http.Connection.open(machine.outbound(), TIMEOUT_MILLISECONDS);
            connection.send(
                    "GET /stock/splitter-7 HTTP/1.1",
                    List.of("Host: " + HOST, Names.of("attempt") + ": " + attempt, Names.of("deadline") + ": 4000"),
                    new byte[0]);
            Optional<Http.Message> answer = connection.receive();
            if (answer.isEmpty()) {
                connection.close();
                throw new IOException("closed without an answer");
            }
            answered.incrementAndGet();
            lastTakenNanoseconds.set(System.nanoTime());
            if (isLeftOpen) {
                Idle left = new Idle(connection, System.nanoTime());
                idle.add(left);
                Thread.ofVirtual().start(() -> awaitEnd(left));
            } else {
                connection.close();
            }
            return true;
        } catch (IOException failed) {
            if (unanswered.incrementAndGet() <= 5) {
                record.write("%s has no answer: %s", attempt, failed.getMessage());
            }
            return false;
        }
    }

    // -- judgement

    /** Lets requesters try new connections, each again and again, and looks for a window in which none was taken. */
    private int judge() {
        long end = System.nanoTime() + JUDGED_SECONDS * 1_000_000_000L;
        lastTakenNanoseconds.set(System.nanoTime());
        AtomicInteger tries = new AtomicInteger();
        AtomicInteger taken = new AtomicInteger();
        for (int requester = 0; requester < REQUESTERS; requester++) {
            Thread.ofVirtual().start(() -> {
                while (System.nanoTime() - end < 0) {
                    tries.incrementAndGet();
                    if (request()) {
                        taken.incrementAndGet();
                    }
                    Deployment.pause(250);
                }
            });
        }
        boolean isAlwaysReady = true;
        long longest = 0;
        while (System.nanoTime() - end < 0) {
            isAlwaysReady &= Deployment.isReady(machine);
            longest = Math.max(longest, (System.nanoTime() - lastTakenNanoseconds.get()) / 1_000_000);
            Deployment.pause(200);
        }
        boolean isBroken = isAlwaysReady && longest >= STABLE_WINDOW_MILLISECONDS;
        record.write(
                "%d requesters tried %d new connections, %d were taken; none for up to %d ms; the node said it was ready: %s",
                REQUESTERS, tries.get(), taken.get(), longest, isAlwaysReady);
        write(number.get());
        record.write(isBroken ? "RECOVER is broken" : "RECOVER held");
        return isBroken ? 1 : 0;
    }
}
