import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A small deployment on loopback: a store, and machines with a node and an upstream each. The nodes are started, signalled and
 * ended by the script, which gets its orders on standard output and answers each with a line. Not thread safe.
 */
final class Deployment implements AutoCloseable {
    private static final int TIMEOUT_MILLISECONDS = 1_000;
    private static final long START_SECONDS = 20;

    /** A machine: its node's name, the service of its upstream and its ports. */
    record Machine(
            String node,
            String service,
            String region,
            String zone,
            int outbound,
            int inbound,
            int ready,
            int control,
            int nodes,
            int metrics,
            Upstream upstream) {}

    private final Path folder;
    private final Record record;
    private final Store store;
    private final int storePort;
    private final BufferedReader answers = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    private final List<Machine> machines = new ArrayList<>();
    private final Set<Integer> usedPorts = new HashSet<>();

    Deployment(Path folder, Record record) throws IOException {
        this.folder = folder;
        this.record = record;
        this.storePort = freePort();
        this.store = new Store(storePort);
    }

    Store store() {
        return store;
    }

    Machine add(String node, String service, String region, String zone, long workMilliseconds) throws IOException {
        int control = freePort();
        int application = freePort();
        Upstream upstream = new Upstream(service, zone, application, control, workMilliseconds, record);
        Machine machine = new Machine(
                node, service, region, zone, freePort(), freePort(), freePort(), control, freePort(), freePort(), upstream);
        machines.add(machine);
        Files.writeString(folder.resolve(node + ".json"), settings(machine, application));
        return machine;
    }

    /** Starts the node of each machine and waits until all are ready. */
    void startNodes() throws IOException {
        startMachines();
        long end = System.nanoTime() + START_SECONDS * 1_000_000_000;
        while (!machines.stream().allMatch(Deployment::isReady)) {
            if (System.nanoTime() - end > 0) {
                throw new IOException("the nodes did not get ready");
            }
            pause(100);
        }
        record.write("all nodes are ready");
    }

    private void startMachines() throws IOException {
        for (Machine machine : machines) {
            order("start " + machine.node);
        }
    }

    /** Lets all machines lose power at once, and starts them again after some time; waits for nothing then. */
    void losePower(long downMilliseconds) throws IOException {
        for (Machine machine : machines) {
            machine.upstream.crash();
            order("signal " + machine.node + " KILL");
        }
        pause(downMilliseconds);
        startMachines();
        for (Machine machine : machines) {
            machine.upstream.start(machine.upstream.instance(), System.currentTimeMillis());
        }
    }

    /** Gives the script an order and waits until it was carried out. */
    void order(String text) throws IOException {
        record.write("order: %s", text);
        System.out.println(text);
        System.out.flush();
        answers.readLine();
    }

    /** Returns whether the node of a machine says that it is ready. */
    static boolean isReady(Machine machine) {
        try (Http.Connection connection = Http.Connection.open(machine.ready, TIMEOUT_MILLISECONDS)) {
            connection.send(
                    "GET " + Names.of("ready") + " HTTP/1.1", List.of("Host: ready", "Connection: close"), new byte[0]);
            return connection.receive().filter(answer -> answer.status() == 200).isPresent();
        } catch (IOException failed) {
            return false;
        }
    }

    static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException stop) {
            Thread.currentThread().interrupt();
        }
    }

    private int freePort() throws IOException {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                if (usedPorts.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            }
        }
    }

    /** Fills in what the settings template of the deploy file names. */
    private String settings(Machine machine, int application) {
        return """
                {
                  "node": "%s",
                  "region": "%s",
                  "availabilityZone": "%s",
                  "platformRegion": "south",
                  "listen": {
                    "caller": "127.0.0.1:%d",
                    "peer": "127.0.0.1:%d",
                    "control": "127.0.0.1:%d",
                    "operator": "127.0.0.1:%d"
                  },
                  "platform": {"address": "127.0.0.1:%d", "callsPerSecond": 40, "timeoutMilliseconds": 1000},
                  "target": {
                    "address": "127.0.0.1:%d",
                    "service": "%s",
                    "healthPath": "/healthz",
                    "loadPath": "/healthz"
                  },
                  "join": [],
                  "mesh": {
                    "targetCalls": "127.0.0.1:%d",
                    "metrics": "127.0.0.1:%d",
                    "heartbeat": "1500ms",
                    "stopTime": "6s",
                    "linkMegabitsPerSecond": 1000.0,
                    "regions": "south,south,north,north",
                    "repeats": {"ratio": 0.2, "floor": 60, "window": "10s"}
                  }
                }
                """
                .formatted(
                        machine.node,
                        machine.region,
                        machine.zone,
                        machine.outbound,
                        machine.inbound,
                        machine.nodes,
                        machine.ready,
                        storePort,
                        application,
                        machine.service,
                        machine.control,
                        machine.metrics);
    }

    @Override
    public void close() throws IOException {
        for (Machine machine : machines) {
            machine.upstream.close();
        }
        store.close();
    }
}
