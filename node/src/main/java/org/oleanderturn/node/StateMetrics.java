package org.oleanderturn.node;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/** Derives metrics from a node's {@link StateDump}. Stateless and thread safe. */
final class StateMetrics {
    private StateMetrics() {}

    /** Registers the metrics; one dump is taken on each scrape, so that all of them describe the same moment. */
    static void register(NodeMetrics metrics, Supplier<StateDump> state) {
        AtomicReference<StateDump> latest = new AtomicReference<>();
        metrics.beforeEachScrape(() -> latest.set(state.get()));
        registerConfiguration(metrics, latest::get);
        registerMembers(metrics, latest::get);
        registerWork(metrics, latest::get);
    }

    private static void registerConfiguration(NodeMetrics metrics, Supplier<StateDump> state) {
        metrics.gauge(
                "oleanderturn_configuration_version",
                "Version of the active configuration.",
                () -> state.get().configuration().held().number());
        metrics.counter(
                "oleanderturn_configurations_rejected_total",
                "Configurations that the node rejected.",
                () -> state.get().configuration().rejected());
        metrics.gauge(
                "oleanderturn_ready",
                "1 when the node may serve requests, else 0.",
                () -> flag(state.get().readiness().isReady()));
        metrics.gauge(
                "oleanderturn_relay",
                "1 when the node is a relay of its zone, else 0.",
                () -> flag(state.get().relaySlot().isPresent()));
    }

    private static void registerMembers(NodeMetrics metrics, Supplier<StateDump> state) {
        metrics.gauge(
                "oleanderturn_members_reachable",
                "Reachable members, including this node.",
                () -> state.get().members().reachable());
        metrics.counter(
                "oleanderturn_control_sent_bytes_total",
                "Bytes of control messages sent.",
                () -> state.get().control().sentBytes());
        metrics.counter(
                "oleanderturn_control_received_bytes_total",
                "Bytes of control messages received.",
                () -> state.get().control().receivedBytes());
    }

    private static void registerWork(NodeMetrics metrics, Supplier<StateDump> state) {
        metrics.gauge(
                "oleanderturn_target_in_flight",
                "Requests that hold a slot of the local target.",
                () -> state.get().work().atTarget());
        metrics.gauge(
                "oleanderturn_target_queued",
                "Requests waiting for a slot of the local target.",
                () -> state.get().work().queued());
        metrics.counter(
                "oleanderturn_store_calls_total",
                "Calls to the platform's store; a watch counts as one call.",
                () -> state.get().storeCalls().totalCalls());
        metrics.counter(
                "oleanderturn_claims_granted_total",
                "Bookings that were allowed to run.",
                () -> state.get().claims().granted());
        metrics.counter(
                "oleanderturn_claims_replayed_total",
                "Bookings that were answered with their recorded response.",
                () -> state.get().claims().replayed());
    }

    private static double flag(boolean isSet) {
        return isSet ? 1 : 0;
    }
}
