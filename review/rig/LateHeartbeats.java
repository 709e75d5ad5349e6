import java.util.ArrayList;
import java.util.List;

/**
 * A node is stopped and started again while the upstream beside it deregisters and goes on serving; the upstream's last three
 * heartbeats arrive seconds late. Breaks DRAIN if the upstream gets requests again.
 */
final class LateHeartbeats {
    private static final int MACHINES = 4;
    private static final int DRAIN_MILLISECONDS = 2_000;
    private static final int STABLE_MILLISECONDS = 3_000;
    private static final int GRACE_MILLISECONDS = 6_000;
    private static final int LATE_HEARTBEATS = 3;

    public static void main(String[] arguments) throws Exception {
        Case.run(arguments, Deployment.places(MACHINES), LateHeartbeats::run);
    }

    /** Restarts all machines but one in turn, until the rule is broken. */
    private static int run(Deployment deployment, Record record) {
        deployment.machines.forEach(machine -> deployment.request(machine, 12));
        Upstream.pause(8_000);
        for (int index = 0; index < MACHINES - 1; index++) {
            int code = restart(deployment, index, record);
            if (code != Case.HELD) {
                return code;
            }
        }
        return Case.HELD;
    }

    private static int restart(Deployment deployment, int index, Record record) {
        Machine machine = deployment.machines.get(index);
        Upstream leaving = deployment.upstreams.get(index);
        leaving.stopBeating();
        machine.signal("TERM");
        List<String> delayed = new ArrayList<>();
        for (int beat = 0; beat < LATE_HEARTBEATS; beat++) {
            String heartbeat = leaving.heartbeat("ready");
            if (Case.isTrouble()) {
                record.show("%s sends a heartbeat that is held up on its way: %s", leaving.id, heartbeat);
                delayed.add(heartbeat);
            } else {
                leaving.send(heartbeat);
            }
            Upstream.pause(Upstream.BEAT_MILLISECONDS);
        }
        long acknowledged = leaving.deregister();
        record.show("%s deregisters, acknowledged at %d", leaving.id, acknowledged);
        machine.awaitEnd(GRACE_MILLISECONDS);
        Upstream.pause(Machine.RESTART_MILLISECONDS);
        machine.start();
        machine.awaitReady();
        for (String heartbeat : delayed) {
            record.show("a late heartbeat arrives");
            leaving.send(heartbeat);
        }
        Upstream.pause(6_000);
        long inTouch = machine.startedMilliseconds() + STABLE_MILLISECONDS;
        List<Upstream.Run> late = leaving.runs.stream()
                .filter(run -> run.milliseconds() > acknowledged + DRAIN_MILLISECONDS)
                .toList();
        long counted =
                late.stream().filter(run -> deployment.sent.get(run.attempt()).milliseconds() > inTouch).count();
        record.show(
                "%d requests ran at %s later than %d ms after the ack, %d of them when its node was in touch again",
                late.size(), leaving.id, DRAIN_MILLISECONDS, counted);
        return counted > 0 ? Case.BROKEN : Case.HELD;
    }
}
