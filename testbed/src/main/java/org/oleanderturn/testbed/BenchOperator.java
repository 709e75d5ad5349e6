package org.oleanderturn.testbed;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.platform.OperatorConfiguration;

/**
 * Configurations as an operator of the users' platform writes them to the store, with 170 services and one route for each
 * virtual host. Consecutive versions of the same size differ in the service of one route.
 *
 * <p>Pure functions. Thread safe.
 */
final class BenchOperator {
    private static final int CONNECTIONS = 130;

    private BenchOperator() {}

    /** Returns the stored value of a version with the given number of routes. */
    static byte[] value(long version, int routes) {
        return Codec.json()
                .encode(Map.of(
                        "version",
                        "r" + version,
                        "services",
                        IntStream.range(0, BenchConfiguration.SERVICES)
                                .mapToObj(BenchOperator::service)
                                .toList(),
                        "virtual_hosts",
                        IntStream.range(0, routes)
                                .mapToObj(route -> virtualHost(route, version))
                                .toList()));
    }

    /** Returns the same version as a node holds it. */
    static ConfigurationSnapshot snapshot(long version, int routes) {
        return decode(value(version, routes));
    }

    /** Decodes a stored value. */
    static ConfigurationSnapshot decode(byte[] value) {
        return OperatorConfiguration.decode(value)
                .getOrElseThrow(failure -> new IllegalStateException(failure.toString()))
                .snapshot();
    }

    private static Map<String, Object> service(int number) {
        return Map.of("name", "service-" + number, "max_connections", CONNECTIONS);
    }

    private static Map<String, Object> virtualHost(int route, long version) {
        return Map.of("host", "host-" + route + ".example", "paths", List.of(path(route, version)));
    }

    private static Map<String, Object> path(int route, long version) {
        int service = route == 0 ? (int) (version % BenchConfiguration.SERVICES) : route % BenchConfiguration.SERVICES;
        Map<String, Object> path = new LinkedHashMap<>();
        path.put("name", "route-" + route);
        path.put("prefix", "/path-" + route + "/");
        path.put("kind", route % 2 == 0 ? "idempotent" : "non_idempotent");
        path.put("timeout", "3000ms");
        path.put("target_latency", "500ms");
        path.put("priority", 1);
        path.put("service", "service-" + service);
        path.put("max_attempts", 2);
        return path;
    }
}
