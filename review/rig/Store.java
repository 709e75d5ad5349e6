import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** A stand-in for the platform's store: items, transactions, watches and leases, without faults. Thread safe. */
final class Store implements AutoCloseable {
    private static final int OK = 200;

    private record Item(String key, String value, long revision, long created, long lease) {
        Map<String, Object> fields() {
            Map<String, Object> result = new LinkedHashMap<>();
            result.put("key", key);
            result.put("value", value);
            result.put("revision", revision);
            result.put("created", created);
            result.put("lease", lease);
            return result;
        }
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Map<String, Object>> events = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private final Http.Server server;
    private long revision = 100;
    private long lastLease = 1_000;

    Store(String ip, int port) throws IOException {
        server = new Http.Server(ip, port, (request, _) -> Optional.of(answer(request)));
    }

    synchronized long put(String key, String text) {
        long next = ++revision;
        String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        set(key, value, 0, next);
        notifyAll();
        return next;
    }

    private void set(String key, String value, long lease, long next) {
        long created = items.containsKey(key) ? items.get(key).created() : next;
        Item item = new Item(key, value, next, created, lease);
        items.put(key, item);
        events.add(item.fields());
    }

    private void remove(String key, long next) {
        if (items.remove(key) != null) {
            Map<String, Object> event = new LinkedHashMap<>();
            event.put("key", key);
            event.put("revision", next);
            event.put("deleted", true);
            events.add(event);
        }
    }

    private synchronized Http.Reply answer(Http.Message request) throws InterruptedException {
        expire();
        String target = request.first()[1];
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        if (path.equals(Names.of("store.key"))) {
            Item item = items.get(query.get("key"));
            return item == null ? Http.Reply.json(404, Map.of()) : Http.Reply.json(OK, withRevision(item.fields()));
        }
        if (path.equals(Names.of("store.range"))) {
            List<Object> found = new ArrayList<>();
            items.values().stream()
                    .filter(item -> item.key().startsWith(query.get("prefix")))
                    .filter(item -> item.key().compareTo(query.getOrDefault("after", "")) > 0)
                    .forEach(item -> found.add(item.fields()));
            return Http.Reply.json(OK, withRevision(new LinkedHashMap<>(Map.of("items", found, "has_more", false))));
        }
        if (path.equals(Names.of("store.watch"))) {
            return watch(query.get("prefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("wait_ms")));
        }
        if (path.equals(Names.of("store.transaction"))) {
            return transaction(Json.object(request.text()));
        }
        if (path.equals(Names.of("store.lease"))) {
            String time = (String) Json.object(request.text()).get("ttl_time");
            long lifetime = milliseconds(time);
            leases.put(++lastLease, new long[] {lifetime, System.currentTimeMillis() + lifetime});
            return Http.Reply.json(OK, Map.of("lease", lastLease, "ttl_time", time));
        }
        if (path.startsWith(Names.of("store.keep"))) {
            long[] lease = leases.get(Long.parseLong(path.substring(Names.of("store.keep").length())));
            if (lease == null) {
                return Http.Reply.json(404, Map.of());
            }
            lease[1] = System.currentTimeMillis() + lease[0];
            return Http.Reply.json(OK, Map.of("ttl_time", lease[0] + "ms"));
        }
        if (path.startsWith(Names.of("store.end"))) {
            end(Long.parseLong(path.substring(Names.of("store.end").length())));
            return Http.Reply.json(OK, Map.of());
        }
        return Http.Reply.json(400, Map.of());
    }

    private static long milliseconds(String text) {
        return text.endsWith("ms")
                ? Long.parseLong(text.substring(0, text.length() - 2))
                : (long) (1_000 * Double.parseDouble(text.substring(0, text.length() - 1)));
    }

    private Map<String, Object> withRevision(Map<String, Object> fields) {
        fields.put("store_revision", revision);
        return fields;
    }

    private Http.Reply watch(String prefix, long after, long wait) throws InterruptedException {
        long end = System.currentTimeMillis() + wait;
        while (true) {
            List<Object> found = new ArrayList<>();
            for (Map<String, Object> event : events) {
                if ((long) event.get("revision") > after && ((String) event.get("key")).startsWith(prefix)) {
                    found.add(event);
                }
            }
            long remaining = end - System.currentTimeMillis();
            if (!found.isEmpty() || remaining <= 0) {
                return Http.Reply.json(OK, withRevision(new LinkedHashMap<>(Map.of("events", found))));
            }
            wait(remaining);
        }
    }

    @SuppressWarnings("unchecked")
    private Http.Reply transaction(Map<String, Object> body) {
        List<Object> conditions = (List<Object>) body.getOrDefault("expected_revision", List.of());
        List<Object> found = new ArrayList<>();
        boolean isMet = true;
        for (Object row : conditions) {
            Map<String, Object> condition = (Map<String, Object>) row;
            Item item = items.get((String) condition.get("key"));
            isMet &= (item == null ? 0 : item.revision()) == (long) condition.get("revision");
            if (item != null) {
                found.add(item.fields());
            }
        }
        if (!isMet) {
            return Http.Reply.json(412, withRevision(new LinkedHashMap<>(Map.of("items", found))));
        }
        List<Object> writes = (List<Object>) body.getOrDefault("set_keys", List.of());
        for (Object row : writes) {
            Object lease = ((Map<String, Object>) row).getOrDefault("lease", 0L);
            if ((long) lease != 0 && !leases.containsKey((long) lease)) {
                return Http.Reply.json(404, Map.of());
            }
        }
        long next = ++revision;
        for (Object row : writes) {
            Map<String, Object> write = (Map<String, Object>) row;
            set((String) write.get("key"), (String) write.get("value"), (long) write.getOrDefault("lease", 0L), next);
        }
        ((List<Object>) body.getOrDefault("remove", List.of())).forEach(key -> remove((String) key, next));
        notifyAll();
        return Http.Reply.json(OK, Map.of("revision", next));
    }

    private void expire() {
        long now = System.currentTimeMillis();
        List<Long> expired = new ArrayList<>();
        leases.forEach((lease, state) -> {
            if (state[1] <= now) {
                expired.add(lease);
            }
        });
        expired.forEach(this::end);
    }

    private void end(long lease) {
        if (leases.remove(lease) == null) {
            return;
        }
        long next = ++revision;
        items.values().stream()
                .filter(item -> item.lease() == lease)
                .map(Item::key)
                .toList()
                .forEach(key -> remove(key, next));
        notifyAll();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
