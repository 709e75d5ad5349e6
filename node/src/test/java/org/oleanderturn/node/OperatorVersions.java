package org.oleanderturn.node;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * The versions of an operator's configuration, each with a virtual host for each route. Equal seeds give equal versions.
 * Used by one thread.
 */
final class OperatorVersions {
    private static final String SERVICES = "\"services\":[{\"name\":\"orders\",\"max_connections\":100}]";
    private static final int NAME_LENGTH = 8;
    private static final String LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789";

    /** A route, and the number of the version that added it. */
    record Route(String host, String prefix, long version) {
        private String json(int timeoutMilliseconds) {
            return "{\"host\":\"%s\",\"paths\":[{\"name\":\"%s\",\"prefix\":\"%s\",\"service\":\"orders\","
                            .formatted(host, host.substring(0, NAME_LENGTH), prefix)
                    + "\"kind\":\"idempotent\",\"timeout\":\"%dms\",\"target_latency\":\"500ms\","
                            .formatted(timeoutMilliseconds)
                    + "\"max_attempts\":3,\"priority\":3}]}";
        }
    }

    /** A version of the configuration; its value is what the store keeps. */
    @SuppressWarnings("ArrayRecordComponent")
    record Version(long number, List<Route> routes, byte[] value) {
        /** Returns the route that each version changes. */
        Route changedRoute() {
            return routes.getFirst();
        }
    }

    private final Random random;
    private final List<Route> routes = new ArrayList<>();
    private Optional<Version> newest = Optional.empty();

    OperatorVersions(long seed) {
        random = new Random(seed);
    }

    /** Returns the next version, which adds routes and changes the first one there is. */
    Version next(long number, int addedRoutes) {
        for (int added = 0; added < addedRoutes; added++) {
            routes.add(new Route(name() + ".example", "/" + name() + "/", number));
        }
        StringBuilder hosts = new StringBuilder();
        for (int index = 0; index < routes.size(); index++) {
            int timeoutMilliseconds = index == 0 ? 1_000 + Math.toIntExact(number) : 1_000;
            hosts.append(index == 0 ? "" : ",").append(routes.get(index).json(timeoutMilliseconds));
        }
        String json = "{\"version\":\"r%d\",%s,\"virtual_hosts\":[%s]}".formatted(number, SERVICES, hosts);
        newest = Optional.of(new Version(number, List.copyOf(routes), json.getBytes(StandardCharsets.UTF_8)));
        return newest.get();
    }

    private String name() {
        StringBuilder name = new StringBuilder();
        for (int letter = 0; letter < NAME_LENGTH; letter++) {
            name.append(LETTERS.charAt(random.nextInt(LETTERS.length())));
        }
        return name.toString();
    }
}
