package org.oleanderturn.node;

import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Region;
import org.oleanderturn.traffic.LoadReport;

/**
 * Sends the load of the local target to other nodes when it has changed.
 *
 * <p>{@link #run} must be called by one thread at a time.
 */
final class LoadAnnouncer {
    /** How often a node checks whether to send its load: several times during a typical request. */
    private static final long INTERVAL_MILLISECONDS = 200;

    /** Load goes to other regions only once in this many rounds: the link is charged for, and responses carry load too. */
    private static final long ROUNDS_PER_CROSS_REGION_SEND = 15;

    /** Limits a node to 100 load messages per second regardless of the number of nodes. */
    private static final long INTERVAL_MILLISECONDS_PER_PEER = 10;

    /**
     * Intervals are this much longer where replies carry the load of other targets, so that nodes send no more messages:
     * with even load more reports exceed the tolerance. In the simulation of 300 nodes at a third of capacity a factor of
     * 1.25 gave 17.4 messages a second and node, where the least latency gives 17.2.
     */
    private static final double EVEN_LOAD_FACTOR = 1.35;

    private final double intervalFactor;
    private final NodeId self;
    private final Region region;
    private final Supplier<LoadReport> load;
    private final Supplier<List<MemberRecord>> peers;
    private final ControlChannel channel;
    private LoadReport lastSent = new LoadReport(0, 0, 0, 0);
    private LoadReport lastSentToAll = new LoadReport(0, 0, 0, 0);
    private long rounds;

    LoadAnnouncer(
            NodeId self,
            Region region,
            NodeSettings.Placement placement,
            Supplier<LoadReport> load,
            Supplier<List<MemberRecord>> peers,
            ControlChannel channel) {
        this.intervalFactor = switch (Objects.requireNonNull(placement, "placement is null")) {
            case LEAST_LATENCY -> 1;
            case EVEN_LOAD -> EVEN_LOAD_FACTOR;
        };
        this.self = Objects.requireNonNull(self, "self is null");
        this.region = Objects.requireNonNull(region, "region is null");
        this.load = Objects.requireNonNull(load, "load is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.channel = Objects.requireNonNull(channel, "channel is null");
    }

    /** Sends the load if it has changed; returns the delay before the next check, in milliseconds. */
    long run() {
        LoadReport current = load.get();
        List<MemberRecord> reachable = peers.get();
        rounds++;
        boolean isForAllRegions = rounds % ROUNDS_PER_CROSS_REGION_SEND == 0;
        boolean isUnchanged = current.isSimilarTo(isForAllRegions ? lastSentToAll : lastSent);
        if (!isUnchanged) {
            lastSent = current;
            lastSentToAll = isForAllRegions ? current : lastSentToAll;
            List<Address> receivers = reachable.stream()
                    .filter(peer -> isForAllRegions || peer.locality().region().equals(region))
                    .map(MemberRecord::controlAddress)
                    .toList();
            channel.sendLoad(receivers, self, current);
        }
        long interval = Math.max(INTERVAL_MILLISECONDS, reachable.size() * INTERVAL_MILLISECONDS_PER_PEER);
        return Math.round(interval * intervalFactor);
    }
}
