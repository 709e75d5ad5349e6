package org.oleanderturn.node;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.oleanderturn.membership.Gossip;
import org.oleanderturn.mesh.LocalTarget;
import org.oleanderturn.mesh.RolloutPlacement;
import org.oleanderturn.mesh.TargetStatus;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.SoftwareVersion;
import org.oleanderturn.store.Store;
import org.oleanderturn.traffic.RolloutPace;

/**
 * The part of a node that carries out rollouts; it does nothing in a deployment whose settings do not ask for them.
 *
 * <p>Invariant: without rollouts, the versions of targets are neither announced nor looked at, and the store is not asked for
 * orders. Thread safe.
 */
final class NodeRollouts {
    private final Gossip gossip;
    private final Optional<Parts> parts;

    private record Parts(RolloutEntry entry, RolloutJudge judge, RolloutReporter reporter) {}

    private NodeRollouts(Gossip gossip, Optional<Parts> parts) {
        this.gossip = gossip;
        this.parts = parts;
    }

    /**
     * Returns the rollouts of a node.
     *
     * @param settings empty where rollouts are off
     * @param fleetSize returns the number of nodes that share the exposure of a new version
     */
    static NodeRollouts of(
            NodeId self,
            Optional<NodeSettings.Rollouts> settings,
            Gossip gossip,
            Store store,
            ControlChannel channel,
            IntSupplier fleetSize) {
        Objects.requireNonNull(gossip, "gossip is null");
        return new NodeRollouts(gossip, settings.map(limits -> {
            RolloutPace pace = new RolloutPace(
                    limits.share(), limits.slack(), limits.rollback().duration());
            RolloutEntry entry =
                    new RolloutEntry(self, pace, () -> gossip.table().endpointView(), fleetSize, System::nanoTime);
            RolloutJudge judge = new RolloutJudge(
                    pace,
                    store,
                    () -> RolloutReporter.isUsualJudge(self, gossip.table().reachablePeers()),
                    () -> entry.hasSeveralVersions() || entry.isRolling(),
                    () -> gossip.table().reachablePeers().size() + 1,
                    MonotonicClock.start());
            RolloutReporter reporter = new RolloutReporter(
                    self, entry, judge, channel, () -> gossip.table().reachablePeers(), System::nanoTime);
            return new Parts(entry, judge, reporter);
        }));
    }

    /** Returns which targets the entry may use. */
    RolloutPlacement placement() {
        return parts.<RolloutPlacement>map(Parts::entry).orElseGet(RolloutPlacement::none);
    }

    /** Returns what announces the state of the local target, with its version where rollouts need it. */
    Consumer<EndpointState> announcer(LocalTarget target) {
        return state -> {
            Optional<SoftwareVersion> version = Optional.of(target.status()).flatMap(TargetStatus::version);
            gossip.announceTarget(state, parts.flatMap(_ -> version));
        };
    }

    /** Answers another node's reports. */
    ControlMessage answer(ControlMessage.RolloutReports reports) {
        return parts.flatMap(known -> known.judge().answer(reports.reports()))
                .<ControlMessage>map(ControlMessage.RolloutDirectives::new)
                .orElseGet(ControlMessage.Noted::new);
    }

    /** Starts the periodic tasks and registers the metrics. */
    void start(PeriodicTasks tasks, NodeMetrics metrics) {
        parts.ifPresent(known -> {
            tasks.runRepeatedly(known.judge()::run);
            tasks.runRepeatedly(known.reporter()::run);
            register(metrics, known.entry(), known.judge());
        });
    }

    /** Registers the gauges of what this node does in rollouts. */
    static void register(NodeMetrics metrics, RolloutEntry entry, RolloutJudge judge) {
        metrics.gauge(
                "oleanderturn_rollout_requests",
                "Requests that this entry sent to new versions under the orders that it knows.",
                entry::nextRequests);
        metrics.gauge(
                "oleanderturn_rollouts_judged",
                "Rollouts that this node judges and that have not ended.",
                judge::unsettled);
    }
}
