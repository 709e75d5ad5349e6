import java.util.ArrayList;
import java.util.List;

/**
 * One machine is cut off from the store, and a new configuration moves a route to another service. Breaks CONFIG if the
 * other machines still send requests to the old service more than two seconds after the store has taken the version.
 */
final class StoreCut {
    private static final List<String> ZONES = List.of("hobart", "huonville", "launceston", "devonport");
    private static final int CUT_MILLISECONDS = 4_900;
    private static final int CHANGE_MILLISECONDS = 300;

    public static void main(String[] arguments) throws Exception {
        String layout = System.getenv().getOrDefault("LAYOUT", "two-zones");
        List<Deployment.Place> places =
                switch (layout) {
                    case "one-zone" -> places(1, 4, List.of(0));
                    case "two-zones" -> places(2, 4, List.of(0, 1));
                    case "four-zones" -> places(4, 3, List.of(0, 1));
                    default -> throw new IllegalArgumentException("unknown layout: " + layout);
                };
        Case.run(arguments, places, (deployment, record) -> run(deployment, record, places));
    }

    /** Returns the machines of some zones, two of which are in each region; the first machine of some of them is cut off. */
    private static List<Deployment.Place> places(int zones, int machines, List<Integer> cutZones) {
        List<Deployment.Place> places = new ArrayList<>();
        for (int index = 0; index < zones * machines; index++) {
            int zone = index / machines;
            places.add(new Deployment.Place(
                    ZONES.get(zone),
                    zone < 2 ? "south" : "north",
                    index % 2 == 0 ? Deployment.SERVICE : Deployment.OTHER_SERVICE,
                    index % machines == 0 && cutZones.contains(zone)));
        }
        return places;
    }

    private static int run(Deployment deployment, Record record, List<Deployment.Place> places) {
        deployment.machines.forEach(machine -> deployment.request(machine, 15));
        Upstream.pause(10_000);
        if (Case.isTrouble()) {
            deployment.proxies.forEach(StoreProxy::cut);
        }
        Upstream.pause(CHANGE_MILLISECONDS);
        deployment.store.put(Deployment.CONFIGURATION, Deployment.configuration("r9", Deployment.OTHER_SERVICE));
        long acknowledged = record.now();
        record.show("the store has taken version r9, which moves lookups to another service");
        Upstream.pause(CUT_MILLISECONDS - CHANGE_MILLISECONDS);
        if (Case.isTrouble()) {
            deployment.proxies.forEach(StoreProxy::heal);
        }
        Upstream.pause(2_500);
        return VersionCheck.judge(
                deployment,
                record,
                acknowledged,
                machine -> !places.get(deployment.machines.indexOf(machine)).isProxied());
    }
}
