import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A heartbeat of another writer, with fields missing, comes in for an upstream; then the upstream reports that it drains.
 * Breaks DRAIN if the upstream gets requests later than two seconds after the acknowledgement.
 */
final class OtherWriter {
    private static final int DRAIN_MILLISECONDS = 2_000;

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, Deployment.places(3), OtherWriter::run);
    }

    private static int run(Deployment deployment, Record record) {
        deployment.machines.forEach(machine -> deployment.request(machine, 15));
        Upstream.pause(8_000);
        Upstream leaving = deployment.upstreams.getFirst();
        if (Case.isTrouble()) {
            Map<String, Object> body = new LinkedHashMap<>();
            body.put("info", Map.of("service", Deployment.SERVICE, "slots", 18));
            body.put("status", Map.of("state", "ready", "seq", 1));
            body.put("born", System.currentTimeMillis());
            record.show("another writer sends a heartbeat without address, zone and version for %s", leaving.id);
            leaving.send(Json.write(body));
        }
        Upstream.pause(300);
        long acknowledged = leaving.drain();
        record.show("%s reports that it drains, acknowledged at %d", leaving.id, acknowledged);
        Upstream.pause(DRAIN_MILLISECONDS + 5_000);
        leaving.deregister();
        long late = leaving.runs.stream()
                .filter(run -> run.milliseconds() > acknowledged + DRAIN_MILLISECONDS)
                .count();
        record.show("%d requests ran at %s later than %d ms after the ack", late, leaving.id, DRAIN_MILLISECONDS);
        return late > 0 ? Case.BROKEN : Case.HELD;
    }
}
