package org.oleanderturn.node;

import java.util.List;
import org.oleanderturn.membership.MemberTable;
import org.oleanderturn.model.Service;
import org.oleanderturn.store.StoreCounters;
import org.oleanderturn.traffic.AdmissionController;
import org.oleanderturn.traffic.UpstreamReport;

/** Reads a node's parts into a {@link StateDump}. */
final class StateReader {
    private StateReader() {}

    static StateDump read(
            NodeSettings settings,
            ControlPlane control,
            DataPlane data,
            RoutingState routing,
            StoreCounters calls,
            StateDump.Traffic traffic) {
        return new StateDump(
                settings.node(),
                settings.locality(),
                control.recovery().readiness(),
                data.monitor().state(),
                control.holder().status(),
                routing.table().version(),
                control.watch().status(),
                control.election().slot(System.currentTimeMillis()),
                control.spreader().status(),
                members(control.gossip().table()),
                work(data),
                data.claims().counts(),
                upstreams(data, routing),
                data.quarantine().records(),
                calls,
                traffic);
    }

    private static StateDump.Members members(MemberTable table) {
        return new StateDump.Members(
                table.records().size(),
                table.reachablePeers().size() + 1,
                table.isIsolated(),
                table.local().incarnation());
    }

    private static StateDump.Work work(DataPlane data) {
        AdmissionController admission = data.admission();
        return new StateDump.Work(
                data.inFlight(), admission.inFlight(), admission.queued(), admission.concurrencyLimit());
    }

    private static List<UpstreamReport> upstreams(DataPlane data, RoutingState routing) {
        return routing.table().snapshot().configuration().services().stream()
                .map(Service::name)
                .flatMap(service -> data.statistics().reports(service).stream())
                .toList();
    }
}
