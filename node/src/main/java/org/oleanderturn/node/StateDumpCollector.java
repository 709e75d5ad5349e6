package org.oleanderturn.node;

import java.util.List;
import org.oleanderturn.membership.MemberTable;
import org.oleanderturn.model.Service;
import org.oleanderturn.store.StoreCounters;
import org.oleanderturn.traffic.AdmissionController;
import org.oleanderturn.traffic.UpstreamReport;

/** Collects a {@link StateDump} from the components of a node. Stateless and thread safe. */
final class StateDumpCollector {
    private StateDumpCollector() {}

    static StateDump collect(
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
                control.headWatcher().status(),
                control.election().slot(System.currentTimeMillis()),
                control.disseminator().status(),
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
