import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A stand-in of the platform's metadata store, in memory, without limits or faults. Leases never end by themselves. Thread safe. */
final class Store implements AutoCloseable {
    private static final int GONE = 404;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** An item, or the removal of one, if the value is null. */
    private record Event(String key, String value, long revision, long created, long lease) {}

    private final HttpServer server;
    private final TreeMap<String, Event> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 100;
    private long lastLease = 1_000;

    Store(int port) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 0);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::handle);
        server.start();
    }

    /** Writes an item as the operator does. */
    synchronized void put(String key, byte[] value) {
        write(key, java.util.Base64.getEncoder().encodeToString(value), 0);
    }

    private void write(String key, String value, long lease) {
        revision++;
        Event before = items.get(key);
        Event event = new Event(key, value, revision, before == null ? revision : before.created, lease);
        if (value == null) {
            items.remove(key);
        } else {
            items.put(key, event);
        }
        history.add(event);
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            String path = exchange.getRequestURI().getPath();
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            byte[] body = exchange.getRequestBody().readAllBytes();
            ObjectNode answer = JSON.createObjectNode();
            int status = answer(path, query, body, answer);
            byte[] bytes = JSON.writeValueAsBytes(answer);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException stop) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized int answer(String path, Map<String, String> query, byte[] body, ObjectNode answer)
            throws IOException, InterruptedException {
        if (path.equals(Names.of("key"))) {
            Event item = items.get(query.get("key"));
            answer.put("store_revision", revision);
            if (item != null) {
                describe(item, answer);
            }
            return item == null ? GONE : 200;
        }
        if (path.equals(Names.of("range"))) {
            ArrayNode found = answer.putArray("items");
            items.tailMap(query.getOrDefault("after", ""), false).values().stream()
                    .filter(item -> item.key.startsWith(query.get("prefix")))
                    .forEach(item -> describe(item, found.addObject()));
            answer.put("has_more", false).put("store_revision", revision);
            return 200;
        }
        if (path.equals(Names.of("watch"))) {
            return watch(query, answer);
        }
        if (path.equals(Names.of("transaction"))) {
            return transact(JSON.readTree(body), answer);
        }
        if (path.equals(Names.of("lease"))) {
            answer.put("lease", ++lastLease).put("ttl_time", JSON.readTree(body).path("ttl_time").asText());
            return 200;
        }
        if (path.startsWith(Names.of("lease-end"))) {
            long lease = Long.parseLong(path.substring(Names.of("lease-end").length()));
            items.values().stream().filter(item -> item.lease == lease).toList().forEach(item -> write(item.key, null, 0));
            return 200;
        }
        answer.put("ttl_time", "10000ms");
        return path.startsWith(Names.of("keep")) ? 200 : GONE;
    }

    private int watch(Map<String, String> query, ObjectNode answer) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        List<Event> found = events(query.get("prefix"), after);
        while (found.isEmpty() && System.nanoTime() - end < 0) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            found = events(query.get("prefix"), after);
        }
        ArrayNode events = answer.putArray("events");
        found.forEach(event -> describe(event, events.addObject()));
        answer.put("store_revision", revision);
        return 200;
    }

    private List<Event> events(String prefix, long after) {
        return history.stream()
                .filter(event -> event.revision > after && event.key.startsWith(prefix))
                .toList();
    }

    private int transact(JsonNode body, ObjectNode answer) {
        ArrayNode current = JSON.createArrayNode();
        boolean isMet = true;
        for (JsonNode condition : body.path("expected_revision")) {
            Event item = items.get(condition.path("key").asText());
            isMet &= (item == null ? 0 : item.revision) == condition.path("revision").asLong();
            if (item != null) {
                describe(item, current.addObject());
            }
        }
        if (!isMet) {
            answer.set("items", current);
            answer.put("store_revision", revision);
            return 412;
        }
        for (JsonNode set : body.path("set_keys")) {
            write(set.path("key").asText(), set.path("value").asText(), set.path("lease").asLong());
        }
        body.path("remove").forEach(key -> write(key.asText(), null, 0));
        answer.put("revision", revision);
        return 200;
    }

    private static void describe(Event event, ObjectNode target) {
        target.put("key", event.key).put("revision", event.revision);
        if (event.value == null) {
            target.put("deleted", true);
        } else {
            target.put("value", event.value).put("created", event.created).put("lease", event.lease);
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> values = new HashMap<>();
        if (text != null) {
            for (String part : text.split("&")) {
                String[] pair = part.split("=", 2);
                values.put(pair[0], URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
