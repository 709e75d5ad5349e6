import java.util.ArrayList;
import java.util.List;

/**
 * Half of the machines lose power at the same moment, the first two of each zone, and are started again within two seconds; just after
 * the loss, a new configuration moves a route to another service. Breaks CONFIG if the other machines still send requests to
 * the old service more than two seconds after the store has taken the version.
 */
final class GroupLost {
    private static final List<String> ZONES = List.of("hobart", "huonville");
    private static final int MACHINES_PER_ZONE = 4;
    private static final int LOST_PER_ZONE = 2;
    private static final int DARK_MILLISECONDS = 1_950;
    private static final int CHANGE_MILLISECONDS = 50;

    public static void main(String[] arguments) throws Exception {
        List<Deployment.Place> places = new ArrayList<>();
        for (String zone : ZONES) {
            for (int index = 0; index < MACHINES_PER_ZONE; index++) {
                String service = index % 2 == 0 ? Deployment.SERVICE : Deployment.OTHER_SERVICE;
                places.add(new Deployment.Place(zone, "south", service, false));
            }
        }
        Case.run(arguments, places, GroupLost::run);
    }

    private static int run(Deployment deployment, Record record) {
        deployment.machines.forEach(machine -> deployment.request(machine, 15));
        Upstream.pause(10_000);
        List<Machine> lost = new ArrayList<>();
        for (int index = 0; index < deployment.machines.size(); index++) {
            if (index % MACHINES_PER_ZONE < LOST_PER_ZONE && Case.isTrouble()) {
                lost.add(deployment.machines.get(index));
            }
        }
        // A stopped process sends nothing and resets nothing, like one that has lost power.
        lost.forEach(machine -> machine.signal("STOP"));
        Upstream.pause(CHANGE_MILLISECONDS);
        deployment.store.put(Deployment.CONFIGURATION, Deployment.configuration("r9", Deployment.OTHER_SERVICE));
        long acknowledged = record.now();
        record.show("the store has taken version r9, which moves lookups to another service");
        Upstream.pause(DARK_MILLISECONDS - CHANGE_MILLISECONDS);
        lost.forEach(machine -> machine.signal("KILL"));
        lost.forEach(machine -> machine.awaitEnd(DARK_MILLISECONDS));
        lost.forEach(Machine::start);
        Upstream.pause(4_000);
        return VersionCheck.judge(deployment, record, acknowledged, machine -> !lost.contains(machine));
    }
}
