import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/** A small deployment on loopback: the store's stand-in, machines with a node and an upstream each, and requesters. */
final class Deployment implements AutoCloseable {
    static final int STORE_PORT = 8627;
    private static final int WORK_MILLISECONDS = 100;
    static final String SERVICE = "stock";
    static final String OTHER_SERVICE = "yard";
    static final String HOST = "hire.example";
    static final String CONFIGURATION = Names.of("configuration");

    /** Where a machine stands, which service its upstream runs, and whether its way to the store can be cut. */
    record Place(String zone, String region, String service, boolean isProxied) {}

    final Record record;
    final List<Machine> machines = new ArrayList<>();
    final List<Upstream> upstreams = new ArrayList<>();
    final LongAdder served = new LongAdder();
    final LongAdder failed = new LongAdder();
    final List<StoreProxy> proxies = new ArrayList<>();
    final Store store;
    /** When a request was sent, and at which machine. */
    record Sent(long milliseconds, Machine machine) {}

    final Map<String, Sent> sent = new ConcurrentHashMap<>();
    private final AtomicLong attempts = new AtomicLong();
    private volatile boolean isClosed;

    /** Starts machines; those that are cut off later reach the store through a proxy. */
    Deployment(Path folder, Record record, List<Place> places) throws IOException {
        this.record = record;
        String network = freeNetwork();
        store = new Store(network + 1, STORE_PORT);
        store.put(CONFIGURATION, configuration("r7", SERVICE));
        for (int index = 0; index < places.size(); index++) {
            Place place = places.get(index);
            String storeIp = network + 1;
            if (place.isProxied()) {
                storeIp = network + (101 + index);
                proxies.add(new StoreProxy(storeIp, network + 1, STORE_PORT, record));
            }
            Machine machine = new Machine(
                    String.format("sidecar-%s-%02d", place.zone(), index + 1),
                    network + (11 + index),
                    place.zone(),
                    place.region(),
                    place.service(),
                    storeIp + ":" + STORE_PORT,
                    folder,
                    record);
            machines.add(machine);
            machine.start();
            upstreams.add(new Upstream(machine, place.service(), "i-" + (index + 1), WORK_MILLISECONDS, record));
        }
    }

    /** Machines of one service in two zones. */
    static List<Place> places(int count) {
        List<Place> places = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            places.add(new Place(index % 2 == 0 ? "hobart" : "huonville", "south", SERVICE, false));
        }
        return places;
    }

    private static String freeNetwork() throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 50; attempt++) {
            String network = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
            if (isFree(network + 1, STORE_PORT) && isFree(network + 11, Machine.APP)) {
                return network;
            }
        }
        throw new IOException("no free loopback addresses");
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
            return true;
        } catch (IOException taken) {
            return false;
        }
    }

    /** Returns a configuration that sends lookups to the given service, and bookings to {@link #SERVICE}. */
    static String configuration(String version, String lookupService) {
        Map<String, Object> route = Map.of(
                "name", "r-stock",
                "prefix", "/stock/",
                "kind", "idempotent",
                "timeout", "2000ms",
                "target_latency", "600ms",
                "priority", 2,
                "service", lookupService,
                "max_attempts", 2);
        Map<String, Object> booking = Map.of(
                "name", "r-book",
                "prefix", "/book/",
                "kind", "non_idempotent",
                "timeout", "2500ms",
                "target_latency", "800ms",
                "priority", 1,
                "service", SERVICE,
                "max_attempts", 2);
        Map<String, Object> limits = Map.of(
                "max_header_bytes", 16_384,
                "max_body_bytes", 67_108_864,
                "header_timeout", "3000ms",
                "idle_timeout", "15000ms");
        return Json.write(Map.of(
                "version", version,
                "services", List.of(service(SERVICE), service(OTHER_SERVICE)),
                "limits", limits,
                "virtual_hosts", List.of(Map.of("host", HOST, "paths", List.of(route, booking)))));
    }

    private static Map<String, Object> service(String name) {
        return Map.of(
                "name", name, "health_path", "/healthz", "max_connections", 120, "protocol", "h1", "tls", false);
    }

    /** Waits until each machine is in; returns whether that came to pass. */
    boolean awaitReady(int milliseconds) {
        long end = record.now() + milliseconds;
        while (record.now() < end) {
            if (machines.stream().allMatch(Machine::isReady)) {
                return true;
            }
            Upstream.pause(50);
        }
        return false;
    }

    /** Sends requests from a machine's requesters to its node while the machine is in, until the deployment ends. */
    void request(Machine machine, int perSecond) {
        Thread.ofVirtual().start(() -> {
            while (!isClosed) {
                if (machine.isReady()) {
                    Thread.ofVirtual().start(() -> requestOnce(machine));
                }
                Upstream.pause(1_000 / perSecond);
            }
        });
    }

    private void requestOnce(Machine machine) {
        long number = attempts.incrementAndGet();
        boolean isBooking = number % 3 == 0;
        String attempt = String.format("%016x", number);
        sent.put(attempt, new Sent(record.now(), machine));
        String path = (isBooking ? "/book/" : "/stock/") + number;
        record.line("requester on %s sends %s %s", machine.name(), attempt, path);
        try {
            Http.Message answer = Http.call(
                    machine.ip(),
                    machine.ip(),
                    Machine.OUTBOUND,
                    isBooking ? "POST" : "GET",
                    path,
                    List.of("Host: " + HOST, Names.of("attempt") + ": " + attempt, Names.of("deadline") + ": 4000"),
                    isBooking ? ("booking " + number).getBytes(StandardCharsets.UTF_8) : new byte[0],
                    4_000);
            (answer.status() == 200 ? served : failed).increment();
            record.line("requester of %s gets %d %s", attempt, answer.status(), answer.text().strip());
        } catch (IOException | RuntimeException lost) {
            failed.increment();
            record.line("requester of %s gets no answer: %s", attempt, lost);
        }
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        machines.forEach(Machine::close);
        for (Upstream upstream : upstreams) {
            upstream.close();
        }
        for (StoreProxy proxy : proxies) {
            proxy.close();
        }
        store.close();
    }
}
