package org.oleanderturn.membership;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Locality.Distance;
import org.oleanderturn.model.NodeId;

/**
 * Anti-entropy: compares digests of the whole table with other members and exchanges the records that differ.
 *
 * <p>Invariants: comparing equal tables takes two short messages; no message exceeds the configured limit of records.
 * {@link #tick} and {@link #join} are called by one thread at a time; the answering methods are thread safe.
 */
final class Synchronizer {
    private static final long ISOLATED_RECONNECT_MILLISECONDS = 1_000;
    private static final long OLD_LOSS_RECONNECT_MILLISECONDS = 60_000;
    private static final long RECENT_LOSS_MILLISECONDS = 600_000;
    private static final int MAXIMUM_JOIN_ROUNDS = 32;
    private static final int MAXIMUM_JOIN_PEERS = 3;

    private final GossipContext context;
    private final RandomGenerator random;
    private final Map<Distance, JitteredTimer> syncTimers = new EnumMap<>(Distance.class);
    private final JitteredTimer reconnectTimer;
    private final ProbeOrder reconnectOrder;
    private final AtomicReference<List<Address>> joinAddresses = new AtomicReference<>(List.of());

    Synchronizer(GossipContext context, RandomGenerator random) {
        this.context = context;
        this.random = random;
        long now = context.now();
        for (Distance distance : Distance.values()) {
            syncTimers.put(
                    distance,
                    new JitteredTimer(context.settings().syncIntervals().at(distance), now, random));
        }
        this.reconnectTimer = new JitteredTimer(context.settings().reconnectIntervalMilliseconds(), now, random);
        this.reconnectOrder = new ProbeOrder(random);
    }

    // -- initiating

    void tick() {
        for (Distance distance : Distance.values()) {
            long now = context.now();
            if (syncTimers.get(distance).isDue(now) && context.hasBudget(distance)) {
                syncTimers
                        .get(distance)
                        .restart(context.settings().syncIntervals().at(distance), now);
                pickPeer(distance).ifPresent(peer -> syncWith(peer.controlAddress(), distance));
            }
        }
        reconnect();
    }

    /** Fetches the whole table from up to {@value #MAXIMUM_JOIN_PEERS} members and returns how many answered. */
    int join(List<Address> controlAddresses) {
        joinAddresses.set(List.copyOf(controlAddresses));
        Set<Address> tried = new HashSet<>();
        tried.add(context.table().local().controlAddress());
        int answered = 0;
        for (Address controlAddress : controlAddresses) {
            if (answered < MAXIMUM_JOIN_PEERS && tried.add(controlAddress) && fetchTable(controlAddress)) {
                answered++;
            }
        }
        return answered;
    }

    private boolean fetchTable(Address controlAddress) {
        boolean hasAnswered = false;
        for (int round = 0; round < MAXIMUM_JOIN_ROUNDS; round++) {
            SyncResult result = syncWith(controlAddress, Distance.SAME_REGION);
            hasAnswered |= result != SyncResult.FAILED;
            if (result != SyncResult.DIFFERENT) {
                return hasAnswered;
            }
        }
        return hasAnswered;
    }

    private SyncResult syncWith(Address controlAddress, Distance distance) {
        MemberTable table = context.table();
        GossipMessage request = new GossipMessage.SyncRequest(
                context.minimalHeader(), table.digest().combined(), table.floors());
        Either<GossipFailure, GossipMessage> answer = context.send(controlAddress, distance, request);
        if (answer.isLeft() || !(answer.get() instanceof GossipMessage.SyncAnswer syncAnswer)) {
            return SyncResult.FAILED;
        }
        context.mergeFloors(syncAnswer.floors());
        if (syncAnswer.digests().isEmpty()) {
            return SyncResult.SAME;
        }
        return exchangeBuckets(controlAddress, distance, syncAnswer.digests());
    }

    private SyncResult exchangeBuckets(Address controlAddress, Distance distance, List<Integer> digests) {
        List<Integer> buckets = context.table().digest().differingBuckets(digests);
        GossipMessage request =
                new GossipMessage.BucketRequest(context.minimalHeader(), buckets, recordsToSend(buckets, Map.of()));
        Either<GossipFailure, GossipMessage> answer = context.send(controlAddress, distance, request);
        if (answer.isLeft() || !(answer.get() instanceof GossipMessage.BucketAnswer bucketAnswer)) {
            return SyncResult.FAILED;
        }
        context.merge(bucketAnswer.records());
        return SyncResult.DIFFERENT;
    }

    private Optional<MemberRecord> pickPeer(Distance distance) {
        MemberTable table = context.table();
        List<MemberRecord> peers = table.reachablePeers().stream()
                .filter(record -> record.locality().distanceTo(table.locality()) == distance)
                .toList();
        return ProbeOrder.sample(peers, 1, random).stream().findFirst();
    }

    /** Tries to reach an unreachable member: frequently if it was lost recently, rarely otherwise. */
    private void reconnect() {
        long now = context.now();
        if (!reconnectTimer.isDue(now)) {
            return;
        }
        MemberTable table = context.table();
        if (table.reachablePeers().isEmpty()) {
            rejoin();
        }
        List<MemberRecord> unreachable = table.unreachableSince(Long.MIN_VALUE);
        List<MemberRecord> recentlyLost = table.unreachableSince(now - RECENT_LOSS_MILLISECONDS);
        reconnectTimer.restart(reconnectInterval(table, recentlyLost), now);
        reconnectOrder.next(recentlyLost.isEmpty() ? unreachable : recentlyLost).ifPresent(this::reconnect);
    }

    /** Fetches the table from one of the last join addresses, since no reachable peer is known. */
    private void rejoin() {
        List<Address> others = joinAddresses.get().stream()
                .filter(address -> !address.equals(context.table().local().controlAddress()))
                .toList();
        ProbeOrder.sample(others, 1, random).forEach(this::fetchTable);
    }

    private long reconnectInterval(MemberTable table, List<MemberRecord> recentlyLost) {
        if (table.isIsolated()) {
            return ISOLATED_RECONNECT_MILLISECONDS;
        }
        boolean isLongIntervalEnough =
                recentlyLost.isEmpty() && !table.reachablePeers().isEmpty();
        return isLongIntervalEnough
                ? OLD_LOSS_RECONNECT_MILLISECONDS
                : context.settings().reconnectIntervalMilliseconds();
    }

    private void reconnect(MemberRecord member) {
        Distance distance = member.locality().distanceTo(context.table().locality());
        GossipMessage ping = new GossipMessage.Ping(context.headerFor(member.node(), distance));
        if (Prober.isAnsweredBy(member.node(), context.send(member.controlAddress(), distance, ping))) {
            syncWith(member.controlAddress(), distance);
        }
    }

    // -- answering

    GossipMessage answer(GossipMessage.SyncRequest request) {
        context.mergeFloors(request.floors());
        MemberTable table = context.table();
        List<Integer> digests = table.digest().combined() == request.digest()
                ? List.of()
                : table.digest().buckets();
        GossipHeader header = context.answerHeader(request.header().sender());
        return new GossipMessage.SyncAnswer(header, digests, table.floors());
    }

    GossipMessage answer(GossipMessage.BucketRequest request) {
        context.merge(request.records());
        Map<NodeId, MemberRecord> knownToPeer = new HashMap<>();
        request.records().forEach(gossipRecord -> knownToPeer.put(gossipRecord.node(), gossipRecord.toRecord()));
        GossipHeader header = context.answerHeader(request.header().sender());
        return new GossipMessage.BucketAnswer(header, recordsToSend(request.buckets(), knownToPeer));
    }

    /** Returns the records in the given buckets whose status the peer doesn't know, up to the size limit. */
    private List<GossipRecord> recordsToSend(List<Integer> buckets, Map<NodeId, MemberRecord> knownToPeer) {
        MemberTable table = context.table();
        Map<Integer, List<MemberRecord>> grouped = new HashMap<>();
        for (MemberRecord record : table.records()) {
            grouped.computeIfAbsent(TableDigest.bucketOf(record), bucket -> new ArrayList<>())
                    .add(record);
        }
        List<GossipRecord> records = new ArrayList<>();
        int remaining = context.settings().syncBytes();
        for (int bucket : buckets) {
            for (MemberRecord record : grouped.getOrDefault(bucket, List.of())) {
                if (knownToPeer.containsKey(record.node())
                        && knownToPeer.get(record.node()).hasSameStatus(record)) {
                    continue;
                }
                GossipRecord gossipRecord =
                        table.entry(record.node()).orElseThrow().toGossipRecord(context.now());
                remaining -= gossipRecord.maximumEncodedBytes();
                if (remaining < 0) {
                    return records;
                }
                records.add(gossipRecord);
            }
        }
        return records;
    }

    /** The result of comparing two tables. */
    private enum SyncResult {
        SAME,
        DIFFERENT,
        FAILED
    }
}
