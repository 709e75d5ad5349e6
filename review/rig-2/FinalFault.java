import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/** Requests before and after a final fault: a version is acknowledged, and all machines lose power right after. */
final class FinalFault {
    private static final String HOST = "yard.example";
    private static final String SERVICE = "availability";
    private static final int REQUESTS_PER_SECOND = 20;
    private static final int BEFORE_SECONDS = 10;
    private static final int AFTER_SECONDS = 15;
    private static final int RECOVERY_SECONDS = 15;
    private static final int DOWN_MILLISECONDS = 1_200;
    private static final int TIMEOUT_MILLISECONDS = 4_000;

    private final List<Deployment.Machine> machines = new ArrayList<>();
    private final AtomicInteger number = new AtomicInteger();
    private final Record record;

    FinalFault(Record record) {
        this.record = record;
    }

    /**
     * Returns the verdict on the rule.
     *
     * @param nextHealthPath the health path that the version names, and at which upstreams answer from their next start on
     * @param isLengthStated whether they state the length of these answers from then on
     */
    int run(Deployment deployment, String nextHealthPath, boolean isLengthStated) throws IOException {
        machines.add(deployment.add("sidecar-hobart-1", SERVICE, "south", "hobart", 50));
        machines.add(deployment.add("sidecar-huonville-1", SERVICE, "south", "huonville", 50));
        machines.add(deployment.add("sidecar-launceston-1", SERVICE, "north", "launceston", 50));
        configure(deployment, 3, "/healthz");
        deployment.startNodes();
        for (Deployment.Machine machine : machines) {
            machine.upstream().start("i-" + machine.node(), System.currentTimeMillis());
        }
        Deployment.pause(3_000);
        double before = servedShare("before the final fault", BEFORE_SECONDS);
        for (Deployment.Machine machine : machines) {
            machine.upstream().answerHealthAt(nextHealthPath, isLengthStated);
        }
        configure(deployment, 4, nextHealthPath);
        deployment.losePower(DOWN_MILLISECONDS);
        record.write("the machines are back");
        Deployment.pause(RECOVERY_SECONDS * 1_000L);
        double after = servedShare("later than the recovery time", AFTER_SECONDS);
        boolean areReady = machines.stream().allMatch(Deployment::isReady);
        record.write("all nodes say that they are ready: %s", areReady);
        if (before < 0.25 || !areReady) {
            return 2;
        }
        record.write(after < 0.25 ? "RECOVER is broken" : "RECOVER held");
        return after < 0.25 ? 1 : 0;
    }

    private void configure(Deployment deployment, int version, String healthPath) {
        deployment.store().put(
                Names.of("configuration"),
                Configurations.of(
                        version,
                        Configurations.service(SERVICE, healthPath),
                        HOST,
                        Configurations.route("r-stock", "/stock/", "idempotent", SERVICE)));
        record.write("the operator's version r%d is acknowledged, health path %s", version, healthPath);
    }

    /** Sends requests for some time, each by the next machine; returns the share that was answered with 200. */
    private double servedShare(String when, int seconds) {
        AtomicInteger served = new AtomicInteger();
        AtomicInteger ended = new AtomicInteger();
        int count = seconds * REQUESTS_PER_SECOND;
        for (int sent = 0; sent < count; sent++) {
            Deployment.Machine machine = machines.get(sent % machines.size());
            Thread.ofVirtual().start(() -> {
                served.addAndGet(request(machine) == 200 ? 1 : 0);
                ended.incrementAndGet();
            });
            Deployment.pause(1_000 / REQUESTS_PER_SECOND);
        }
        for (int waited = 0; ended.get() < count && waited < TIMEOUT_MILLISECONDS; waited += 100) {
            Deployment.pause(100);
        }
        record.write("%s: %d requests sent, %d served", when, count, served.get());
        return (double) served.get() / count;
    }

    /** Returns the status of the answer, or 0 if there was none. */
    private int request(Deployment.Machine machine) {
        String attempt = "a" + number.incrementAndGet();
        try (Http.Connection connection = Http.Connection.open(machine.outbound(), TIMEOUT_MILLISECONDS)) {
            connection.send(
                    "GET /stock/splitter-" + attempt + " HTTP/1.1",
                    List.of("Host: " + HOST, Names.of("attempt") + ": " + attempt, Names.of("deadline") + ": 4000"),
                    new byte[0]);
            Optional<Http.Message> answer = connection.receive();
            record.write(
                    "%s to %s: %s",
                    attempt,
                    machine.node(),
                    answer.map(received -> received.status() + " " + received.text().strip()).orElse("no answer"));
            return answer.map(Http.Message::status).orElse(0);
        } catch (IOException failed) {
            record.write("%s to %s: %s", attempt, machine.node(), failed.getMessage());
            return 0;
        }
    }
}
