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
 * Compares the whole table with other members' and exchanges the records that differ.
 *
 * <p>Invariant: equal tables cost two short messages; no message carries more records than the settings allow. Ticks by
 * one thread at a time; answers by any.
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

    Synchronizer(GossipContext membership, RandomGenerator random) {
        this.context = membership;
        this.random = random;
        long now = membership.now();
        for (Distance distance : Distance.values()) {
            syncTimers.put(
                    distance,
                    new JitteredTimer(membership.settings().syncIntervals().at(distance), now, random));
        }
        this.reconnectTimer = new JitteredTimer(membership.settings().reconnectIntervalMilliseconds(), now, random);
        this.reconnectOrder = new ProbeOrder(random);
    }

    // -- asking

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

    /** Fetches the whole table from a few of the given members and returns how many answered. */
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
        boolean isAnswered = false;
        for (int round = 0; round < MAXIMUM_JOIN_ROUNDS; round++) {
            SyncResult comparison = syncWith(controlAddress, Distance.SAME_REGION);
            isAnswered |= comparison != SyncResult.FAILED;
            if (comparison != SyncResult.DIFFERENT) {
                return isAnswered;
            }
        }
        return isAnswered;
    }

    private SyncResult syncWith(Address controlAddress, Distance distance) {
        MemberTable table = context.table();
        GossipMessage request = new GossipMessage.SyncRequest(
                context.minimalHeader(), table.digest().combined(), table.floors());
        Either<GossipFailure, GossipMessage> answer = context.send(controlAddress, distance, request);
        if (answer.isLeft() || !(answer.get() instanceof GossipMessage.SyncAnswer found)) {
            return SyncResult.FAILED;
        }
        context.mergeFloors(found.floors());
        if (found.digests().isEmpty()) {
            return SyncResult.SAME;
        }
        return exchangeBuckets(controlAddress, distance, found.digests());
    }

    private SyncResult exchangeBuckets(Address controlAddress, Distance distance, List<Integer> digests) {
        List<Integer> buckets = context.table().digest().differingBuckets(digests);
        GossipMessage request =
                new GossipMessage.BucketRequest(context.minimalHeader(), buckets, recordsToSend(buckets, Map.of()));
        Either<GossipFailure, GossipMessage> answer = context.send(controlAddress, distance, request);
        if (answer.isLeft() || !(answer.get() instanceof GossipMessage.BucketAnswer found)) {
            return SyncResult.FAILED;
        }
        context.merge(found.records());
        return SyncResult.DIFFERENT;
    }

    private Optional<MemberRecord> pickPeer(Distance distance) {
        MemberTable table = context.table();
        List<MemberRecord> peers = table.reachablePeers().stream()
                .filter(record -> record.locality().distanceTo(table.locality()) == distance)
                .toList();
        return ProbeOrder.sample(peers, 1, random).stream().findFirst();
    }

    /** Tries a member that is unreachable: often while the loss is fresh, seldom afterwards. */
    private void reconnect() {
        long now = context.now();
        if (!reconnectTimer.isDue(now)) {
            return;
        }
        MemberTable table = context.table();
        if (table.reachablePeers().isEmpty()) {
            rejoin();
        }
        List<MemberRecord> lost = table.unreachableSince(Long.MIN_VALUE);
        List<MemberRecord> fresh = table.unreachableSince(now - RECENT_LOSS_MILLISECONDS);
        reconnectTimer.restart(reconnectInterval(table, fresh), now);
        reconnectOrder.next(fresh.isEmpty() ? lost : fresh).ifPresent(this::reconnect);
    }

    /** Tries one of the addresses joined last, since no member is known that could make this node known. */
    private void rejoin() {
        List<Address> others = joinAddresses.get().stream()
                .filter(address -> !address.equals(context.table().local().controlAddress()))
                .toList();
        ProbeOrder.sample(others, 1, random).forEach(this::fetchTable);
    }

    private long reconnectInterval(MemberTable table, List<MemberRecord> fresh) {
        if (table.isIsolated()) {
            return ISOLATED_RECONNECT_MILLISECONDS;
        }
        boolean isSeldomEnough = fresh.isEmpty() && !table.reachablePeers().isEmpty();
        return isSeldomEnough
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
        Map<NodeId, MemberRecord> told = new HashMap<>();
        request.records().forEach(delta -> told.put(delta.node(), delta.toRecord()));
        GossipHeader header = context.answerHeader(request.header().sender());
        return new GossipMessage.BucketAnswer(header, recordsToSend(request.buckets(), told));
    }

    /** Returns the records of some buckets that say more than the other side told, bucket by bucket up to the bound. */
    private List<GossipRecord> recordsToSend(List<Integer> buckets, Map<NodeId, MemberRecord> told) {
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
                if (told.containsKey(record.node()) && told.get(record.node()).hasSameStatus(record)) {
                    continue;
                }
                GossipRecord delta = table.entry(record.node()).orElseThrow().toGossipRecord(context.now());
                remaining -= delta.maximumEncodedBytes();
                if (remaining < 0) {
                    return records;
                }
                records.add(delta);
            }
        }
        return records;
    }

    /** What came of comparing two tables. */
    private enum SyncResult {
        SAME,
        DIFFERENT,
        FAILED
    }
}
