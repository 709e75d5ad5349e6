import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request of one virtual host crashes the upstreams that run it, and comes again. Requests of another host, which go to another
 * service and do no harm, have the same path.
 */
final class SamePath {
    private static final String YARD = "yard.example";
    private static final String MANUALS = "manuals.example";
    private static final String PATH = "/status/now";
    private static final int SECONDS = 70;
    private static final int STABLE_WINDOW_SECONDS = 3;
    private static final int ALLOWED_RETRIES = 3;
    private static final int TIMEOUT_MILLISECONDS = 3_000;

    private final List<Deployment.Machine> machines = new ArrayList<>();
    private final AtomicInteger number = new AtomicInteger();
    private final AtomicInteger lostBookings = new AtomicInteger();
    private final Record record;

    private SamePath(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws IOException {
        boolean isTrouble = arguments[2].equals("1");
        try (Record record = new Record(Path.of(arguments[1]));
                Deployment deployment = new Deployment(Path.of(arguments[0]), record)) {
            deployment.order("verdict " + new SamePath(record).run(deployment, isTrouble));
        }
        System.exit(0);
    }

    private int run(Deployment deployment, boolean isTrouble) throws IOException {
        machines.add(deployment.add("sidecar-hobart-1", "availability", "south", "hobart", 300));
        machines.add(deployment.add("sidecar-huonville-1", "availability", "south", "huonville", 300));
        machines.add(deployment.add("sidecar-launceston-1", "docs", "north", "launceston", 30));
        String yardRoutes = Configurations.route("r-status", "/status/", "idempotent", "availability") + ","
                + Configurations.route("r-hire", "/hire/", "non_idempotent", "availability");
        deployment.store().put(
                Names.of("configuration"),
                Configurations.ofHosts(
                        3,
                        Configurations.service("availability") + "," + Configurations.service("docs"),
                        Configurations.host(YARD, yardRoutes) + ","
                                + Configurations.host(
                                        MANUALS, Configurations.route("r-manuals", "/status/", "idempotent", "docs"))));
        deployment.startNodes();
        for (Deployment.Machine machine : machines) {
            machine.upstream().start("i-" + machine.node(), System.currentTimeMillis());
        }
        Deployment.pause(3_000);
        if (isTrouble) {
            machines.get(0).upstream().crashAt(PATH);
            machines.get(1).upstream().crashAt(PATH);
        }
        double end = record.seconds() + SECONDS;
        // The same caller, at any machine: both machines of availability send it.
        repeat(end, 1_000, () -> request(machines.get(number.get() % 2), "GET", YARD, PATH));
        repeat(end, 500, () -> request(any(), "GET", MANUALS, PATH));
        repeat(end, 250, this::book);
        Deployment.pause(SECONDS * 1_000L + TIMEOUT_MILLISECONDS);
        return judge();
    }

    private void repeat(double end, long milliseconds, Runnable request) {
        Thread.ofVirtual().start(() -> {
            while (record.seconds() < end) {
                Thread.ofVirtual().start(request);
                Deployment.pause(milliseconds);
            }
        });
    }

    private void book() {
        int status = request(any(), "POST", YARD, "/hire/splitter-" + number.get());
        lostBookings.addAndGet(status == 502 || status == 504 ? 1 : 0);
    }

    private Deployment.Machine any() {
        return machines.get(number.get() % machines.size());
    }

    /** Returns the status of the answer, or 0 if there was none. */
    private int request(Deployment.Machine machine, String method, String host, String path) {
        String attempt = "a" + number.incrementAndGet();
        try (Http.Connection connection = Http.Connection.open(machine.outbound(), TIMEOUT_MILLISECONDS)) {
            connection.send(
                    method + " " + path + " HTTP/1.1",
                    List.of("Host: " + host, Names.of("attempt") + ": " + attempt, Names.of("deadline") + ": 2000"),
                    new byte[0]);
            Optional<Http.Message> answer = connection.receive();
            record.write(
                    "%s, %s %s%s to %s: %s",
                    attempt,
                    method,
                    host,
                    path,
                    machine.node(),
                    answer.map(received -> received.status() + " " + received.text().strip()).orElse("no answer"));
            return answer.map(Http.Message::status).orElse(0);
        } catch (IOException failed) {
            record.write("%s, %s %s%s to %s: %s", attempt, method, host, path, machine.node(), failed.getMessage());
            return 0;
        }
    }

    // -- judgement

    private int judge() {
        List<Upstream.Run> crashing = new ArrayList<>();
        for (Deployment.Machine machine : machines.subList(0, 2)) {
            machine.upstream().runs().stream()
                    .filter(run -> run.path().equals(PATH) && machine.upstream().isCrashing())
                    .forEach(crashing::add);
        }
        crashing.sort((one, other) -> Double.compare(one.seconds(), other.seconds()));
        for (Upstream.Run run : crashing) {
            record.write("upstream %s ran %s at %.3f s and crashed", run.instance(), run.attempt(), run.seconds());
        }
        long retries = 0;
        if (crashing.size() > 2) {
            double from = crashing.get(2).seconds() + STABLE_WINDOW_SECONDS;
            retries = crashing.stream().filter(run -> run.seconds() > from).count();
        }
        record.write("%d bookings have no answer of their upstream", lostBookings.get());
        record.write(
                "%d crashes; %d later than %d s after the third; %d are allowed: BUDGET %s",
                crashing.size(),
                retries,
                STABLE_WINDOW_SECONDS,
                ALLOWED_RETRIES,
                retries > ALLOWED_RETRIES ? "is broken" : "held");
        boolean hasCrashed = !machines.get(0).upstream().isCrashing() || !crashing.isEmpty();
        if (!hasCrashed || machines.stream().anyMatch(machine -> machine.upstream().runs().isEmpty())) {
            return 2;
        }
        return retries > ALLOWED_RETRIES ? 1 : 0;
    }
}
