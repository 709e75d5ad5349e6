import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One machine at a loopback address, and the platform's supervision of the node on it. Thread safe. */
final class Machine implements AutoCloseable {
    static final int APP = 8628;
    static final int OUTBOUND = 8629;
    static final int INBOUND = 8624;
    static final int READY = 8625;
    static final int CONTROL = 8620;
    private static final int NODE_PORT = 7600;

    /** How long after its end the platform starts a process again. */
    static final int RESTART_MILLISECONDS = 300;

    private final String name;
    private final String ip;
    private final String zone;
    private final Path settings;
    private final Record record;
    private volatile ProcessHandle process;
    private volatile boolean isReady;
    private volatile boolean isClosed;
    private volatile long startedMilliseconds;

    Machine(String name, String ip, String zone, String region, String service, String store, Path folder, Record record)
            throws IOException {
        this.name = name;
        this.ip = ip;
        this.zone = zone;
        this.record = record;
        this.settings = folder.resolve(name + ".json");
        Files.writeString(settings, render(region, service, store));
        Thread.ofVirtual().start(this::probe);
    }

    String ip() {
        return ip;
    }

    String zone() {
        return zone;
    }

    String name() {
        return name;
    }

    boolean isReady() {
        return isReady;
    }

    long startedMilliseconds() {
        return startedMilliseconds;
    }

    /** Fills in the project's template as the platform does. */
    private String render(String region, String service, String store) throws IOException {
        Map<String, String> fields = Map.ofEntries(
                Map.entry("node", name),
                Map.entry("region", region),
                Map.entry("zone", zone),
                Map.entry("ip", ip),
                Map.entry("listen.outbound", ip + ":" + OUTBOUND),
                Map.entry("listen.inbound", ip + ":" + INBOUND),
                Map.entry("listen.ready", ip + ":" + READY),
                Map.entry("listen.control", ip + ":" + CONTROL),
                Map.entry("port_range.0", String.valueOf(NODE_PORT)),
                Map.entry("platform.address", store),
                Map.entry("app_addr", ip + ":" + APP),
                Map.entry("service", service),
                Map.entry("heartbeat", Upstream.BEAT_MILLISECONDS + "ms"),
                Map.entry("bounds.grace", "6s"),
                Map.entry("limits.link_mbps", "1000.0"),
                Map.entry("bounds.retry_budget_ratio", "0.2"),
                Map.entry("bounds.retry_budget_slack", "60"),
                Map.entry("bounds.budget_window", "10s"));
        Matcher placeholders = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?}}")
                .matcher(Files.readString(Path.of("deploy/settings.json.template")));
        return placeholders.replaceAll(match -> {
            String value = fields.get(match.group(1));
            if (value == null) {
                throw new IllegalStateException("the template names a field that is not known here: " + match.group(1));
            }
            return Matcher.quoteReplacement(match.group(2) == null ? value : Json.write(value));
        });
    }

    synchronized void start() {
        process = Supervisor.start(name, settings.toString());
        startedMilliseconds = record.now();
        record.show("node %s starts as process %d", name, process.pid());
    }

    /** Sends a signal to the node's process. */
    void signal(String signal) {
        record.show("node %s gets SIG%s", name, signal);
        Supervisor.signal(name, signal);
    }

    /** Waits for the end of a process that got SIGTERM, and kills it after the grace time. */
    void awaitEnd(int graceMilliseconds) {
        long end = record.now() + graceMilliseconds;
        while (process.isAlive()) {
            if (record.now() >= end) {
                signal("KILL");
                end = Long.MAX_VALUE;
            }
            Upstream.pause(20);
        }
        record.show("node %s has ended", name);
    }

    /** Waits until the platform finds the node ready again. */
    void awaitReady() {
        while (!isReady) {
            Upstream.pause(20);
        }
    }

    /** Asks once a second whether the node is ready; two misses take it out. */
    private void probe() {
        int misses = 2;
        while (!isClosed) {
            boolean isHit;
            try {
                isHit = Http.call(ip, ip, READY, "GET", Names.of("ready"), List.of(), new byte[0], 900)
                                .status()
                        == 200;
            } catch (IOException | RuntimeException missed) {
                isHit = false;
            }
            misses = isHit ? 0 : misses + 1;
            boolean isNowReady = misses < 2;
            if (isNowReady != isReady) {
                record.show("machine %s is %s", name, isNowReady ? "in" : "out");
            }
            isReady = isNowReady;
            Upstream.pause(1_000);
        }
    }

    @Override
    public void close() {
        isClosed = true;
    }
}
