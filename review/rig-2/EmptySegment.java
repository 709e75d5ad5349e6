import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Requests whose path begins with an empty segment: the upstream has to get the path that was sent, by the route it selects. */
final class EmptySegment {
    private static final String HOST = "yard.example";
    private static final int REQUESTS = 10;
    private static final int TIMEOUT_MILLISECONDS = 5_000;

    private EmptySegment() {}

    public static void main(String[] arguments) throws IOException {
        boolean isTrouble = arguments[2].equals("1");
        try (Record record = new Record(Path.of(arguments[1]));
                Deployment deployment = new Deployment(Path.of(arguments[0]), record)) {
            deployment.order("verdict " + run(deployment, record, isTrouble));
        }
        System.exit(0);
    }

    private static int run(Deployment deployment, Record record, boolean isTrouble) throws IOException {
        Deployment.Machine docs = deployment.add("sidecar-hobart-1", "docs", "south", "hobart", 20);
        Deployment.Machine bookings = deployment.add("sidecar-huonville-1", "bookings", "south", "huonville", 20);
        deployment.store().put(
                Names.of("configuration"),
                Configurations.of(
                        3,
                        Configurations.service("docs") + "," + Configurations.service("bookings"),
                        HOST,
                        Configurations.route("r-docs", "/", "idempotent", "docs") + ","
                                + Configurations.route("r-bookings", "/bookings/", "non_idempotent", "bookings")));
        deployment.startNodes();
        docs.upstream().start("i-docs-1", System.currentTimeMillis());
        bookings.upstream().start("i-bookings-1", System.currentTimeMillis());
        Deployment.pause(3_000);
        String lead = isTrouble ? "/" : "";
        Map<String, String> sent = new HashMap<>();
        for (int number = 0; number < REQUESTS; number++) {
            send(docs, record, "GET", lead + "/manuals/splitter-" + number, "a" + number, sent);
            send(docs, record, "POST", lead + "/manuals/bookings/" + number, "b" + number, sent);
        }
        Deployment.pause(500);
        return judge(record, sent, List.of(docs, bookings));
    }

    private static void send(
            Deployment.Machine machine, Record record, String method, String path, String attempt, Map<String, String> sent)
            throws IOException {
        sent.put(attempt, method + " " + path);
        try (Http.Connection connection = Http.Connection.open(machine.outbound(), TIMEOUT_MILLISECONDS)) {
            connection.send(
                    method + " " + path + " HTTP/1.1",
                    List.of(
                            "Host: " + HOST,
                            Names.of("attempt") + ": " + attempt,
                            Names.of("deadline") + ": 4000"),
                    new byte[0]);
            Optional<Http.Message> answer = connection.receive();
            record.write(
                    "sent %s %s as %s: %s",
                    method,
                    path,
                    attempt,
                    answer.map(received -> received.status() + " " + received.text().strip()).orElse("no answer"));
        }
    }

    private static int judge(Record record, Map<String, String> sent, List<Deployment.Machine> machines) {
        int broken = 0;
        int runs = 0;
        for (Deployment.Machine machine : machines) {
            for (Upstream.Run run : machine.upstream().runs()) {
                runs++;
                String ran = run.method() + " " + run.path();
                boolean isChanged = !ran.equals(sent.get(run.attempt()));
                // The longest prefix that begins each path sent is "/", whose route goes to docs.
                boolean isForeign = !machine.service().equals("docs");
                broken += isChanged || isForeign ? 1 : 0;
                record.write(
                        "%s ran %s as %s%s%s",
                        machine.service(),
                        run.attempt(),
                        ran,
                        isChanged ? ", UNASKED: sent was " + sent.get(run.attempt()) : "",
                        isForeign ? ", ROUTE: no configuration allows it to go to " + machine.service() : "");
            }
        }
        record.write("%d of %d runs break the rule", broken, runs);
        if (runs == 0) {
            return 2;
        }
        return broken > 0 ? 1 : 0;
    }
}
