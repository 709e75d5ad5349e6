package org.oleanderturn.node;

import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.oleanderturn.mesh.TargetCondition;
import org.oleanderturn.store.StoreCounters;
import org.oleanderturn.traffic.CrashVerdict;

/**
 * Registers the gauges of a node on the users' platform, which show what it believes at the moment they are read.
 *
 * <p>Immutable and thread safe.
 */
final class MeshGauges {
    private final NodeMetrics metrics;
    private final ControlPlane control;
    private final OperatorConfigurationWatcher configurationWatcher;
    private final MeshDataPlane data;
    private final LogWriter writer;

    private MeshGauges(
            NodeMetrics metrics,
            ControlPlane control,
            OperatorConfigurationWatcher configurationWatcher,
            MeshDataPlane data,
            LogWriter writer) {
        this.metrics = metrics;
        this.control = control;
        this.configurationWatcher = configurationWatcher;
        this.data = data;
        this.writer = writer;
    }

    /** Returns the gauges of the parts of a node; none is registered yet. */
    static MeshGauges of(
            NodeMetrics metrics,
            ControlPlane control,
            OperatorConfigurationWatcher configurationWatcher,
            MeshDataPlane data,
            LogWriter writer) {
        Objects.requireNonNull(metrics, "metrics is null");
        Objects.requireNonNull(control, "control is null");
        Objects.requireNonNull(configurationWatcher, "configurationWatcher is null");
        Objects.requireNonNull(data, "data is null");
        Objects.requireNonNull(writer, "writer is null");
        return new MeshGauges(metrics, control, configurationWatcher, data, writer);
    }

    /** Registers all gauges; to be called once. */
    void register(BooleanSupplier isServing) {
        registerNodeGauges(isServing);
        registerTrafficGauges();
    }

    /** Registers the bytes of messages about configurations that the node exchanged as a client and as a server. */
    void registerTraffic(ConfigurationTraffic client, ConfigurationTraffic server) {
        metrics.counter(
                "oleanderturn_configuration_sent_bytes_total",
                "Bytes of messages about versions of the configuration sent to other nodes.",
                () -> client.sentBytes() + server.sentBytes());
        metrics.counter(
                "oleanderturn_configuration_received_bytes_total",
                "Bytes of messages about versions of the configuration received from other nodes.",
                () -> client.receivedBytes() + server.receivedBytes());
    }

    /** Registers the calls to the platform's store by operation. */
    void registerStoreCalls(Supplier<StoreCounters> counters) {
        metrics.counters(
                "oleanderturn_store_operations_total",
                "Calls to the platform's store by operation; a watch counts as one, a stale read costs a tenth.",
                "operation",
                () -> {
                    Map<String, Long> calls = new TreeMap<>();
                    counters.get().calls().forEach((operation, count) -> calls.put(operation.name(), count));
                    return calls;
                });
    }

    private void registerNodeGauges(BooleanSupplier isServing) {
        metrics.gauge(
                "oleanderturn_ready",
                "1 when the node serves clients, else 0.",
                () -> isServing.getAsBoolean() ? 1 : 0);
        metrics.gauge(
                "oleanderturn_configuration_version",
                "Version of the active configuration.",
                () -> control.holder().version().number());
        metrics.gauge(
                "oleanderturn_relay",
                "1 when the node is a relay of its zone, else 0.",
                () -> control.role().isRelay(0) ? 1 : 0);
        metrics.counter(
                "oleanderturn_configuration_snapshots_refused_total",
                "Snapshots that the node did not send because of its rate limit.",
                () -> control.disseminator().status().refusals());
        metrics.gauge(
                "oleanderturn_store_lost",
                "1 when the platform's store can't be read, else 0.",
                () -> configurationWatcher.failure().isPresent() ? 1 : 0);
        metrics.gauge(
                "oleanderturn_configuration_unreadable",
                "1 when the newest configuration in the store can't be decoded, else 0.",
                () -> configurationWatcher.unreadable().isPresent() ? 1 : 0);
        metrics.gauge(
                "oleanderturn_configuration_unknown_words",
                "Words of the newest configuration in the store that this release does not know.",
                () -> configurationWatcher.unknownWords().size());
        metrics.gauge(
                "oleanderturn_members_reachable",
                "Reachable nodes, excluding this one.",
                () -> control.gossip().table().reachablePeers().size());
        metrics.counter("oleanderturn_log_lines_dropped_total", "Log lines that were dropped.", writer::dropped);
    }

    private void registerConditionGauges() {
        metrics.gauge(
                "oleanderturn_target_requests_per_second",
                "Rate that the local target takes from all nodes together, 0 when it does not limit it.",
                () -> data.target()
                        .condition()
                        .map(TargetCondition::limit)
                        .orElse(OptionalDouble.empty())
                        .orElse(0));
        metrics.gauge(
                "oleanderturn_limited_targets",
                "Targets of all nodes that are known to limit their rate.",
                () -> data.conditions().known().stream()
                        .filter(condition -> condition.limit().isPresent())
                        .count());
        metrics.gauge(
                "oleanderturn_leaving_targets",
                "Targets of all nodes that are known to leave.",
                () -> data.conditions().known().stream()
                        .filter(TargetCondition::isLeaving)
                        .count());
    }

    private void registerTrafficGauges() {
        metrics.gauge(
                "oleanderturn_target_slots",
                "Slots of the local target, 0 when it accepts no requests.",
                () -> data.load().slots());
        metrics.gauge(
                "oleanderturn_target_running",
                "Requests running on the local target.",
                () -> data.load().running());
        metrics.gauge(
                "oleanderturn_target_waiting",
                "Requests waiting for a slot of the local target.",
                () -> data.load().waiting());
        metrics.gauge(
                "oleanderturn_retries_in_window",
                "Retries that this node granted in the current window, over all services.",
                () -> data.retryUsage().retries());
        metrics.gauge(
                "oleanderturn_retry_limit_in_window",
                "Retries that this node may grant in the current window, over all services.",
                () -> data.retryUsage().limit());
        registerConditionGauges();
        metrics.gauge(
                "oleanderturn_response_bytes_held",
                "Bytes of responses that are being read or written, a quarter of the heap at most.",
                data::heldResponseBytes);
        metrics.counter(
                "oleanderturn_pipelined_requests_total",
                "Requests of clients that were started while another of their connection was in service.",
                data::pipelinedRequests);
        metrics.gauge(
                "oleanderturn_suspect_requests",
                "Requests under which targets have ended and that have not completed since.",
                () -> data.crashLedger().suspicions().stream()
                        .filter(suspicion -> suspicion.level() > 0)
                        .count());
        metrics.gauge(
                "oleanderturn_quarantined_requests",
                "Requests that are refused now, as targets have ended under them.",
                () -> data.crashLedger().suspicions().stream()
                        .map(suspicion -> data.crashLedger().verdict(suspicion.fingerprint()))
                        .filter(CrashVerdict.Quarantined.class::isInstance)
                        .count());
    }
}
