import java.nio.charset.StandardCharsets;

/** Configurations of the operator for the small deployments. Stateless and thread safe. */
final class Configurations {
    private Configurations() {}

    /** Returns a configuration with the given services and the routes of one virtual host, both in JSON. */
    static byte[] of(int version, String services, String host, String paths) {
        return ofHosts(version, services, host(host, paths));
    }

    /** Returns a configuration with the given services and virtual hosts, both in JSON. */
    static byte[] ofHosts(int version, String services, String hosts) {
        return """
                {"version":"r%d","services":[%s],
                 "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
                 "base_version":"r%d","virtual_hosts":[%s]}
                """
                .formatted(version, services, version - 1, hosts)
                .getBytes(StandardCharsets.UTF_8);
    }

    static String host(String name, String paths) {
        return "{\"host\":\"%s\",\"paths\":[%s]}".formatted(name, paths);
    }

    static String service(String name) {
        return service(name, "/healthz");
    }

    static String service(String name, String healthPath) {
        return "{\"name\":\"%s\",\"health_path\":\"%s\",\"max_connections\":120,\"protocol\":\"h1\",\"tls\":false}"
                .formatted(name, healthPath);
    }

    static String route(String name, String prefix, String kind, String service) {
        return """
                {"name":"%s","prefix":"%s","kind":"%s","timeout":"2000ms","target_latency":"600ms","priority":2,
                 "service":"%s","max_attempts":2}"""
                .formatted(name, prefix, kind, service);
    }
}
