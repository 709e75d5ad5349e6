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
    private static final long FRESH_LOSS_MILLISECONDS = 600_000;
    private static final int JOIN_ROUNDS = 32;
    private static final int JOIN_PEERS = 3;

    private final Membership membership;
    private final RandomGenerator random;
    private final Map<Distance, DueTime> due = new EnumMap<>(Distance.class);
    private final DueTime reconnectDue;
    private final ProbeOrder reconnectOrder;
    private final AtomicReference<List<Address>> joinAddresses = new AtomicReference<>(List.of());

    Synchronizer(Membership membership, RandomGenerator random) {
        this.membership = membership;
        this.random = random;
        long now = membership.now();
        for (Distance distance : Distance.values()) {
            due.put(distance, new DueTime(membership.settings().sync().at(distance), now, random));
        }
        this.reconnectDue = new DueTime(membership.settings().reconnectMilliseconds(), now, random);
        this.reconnectOrder = new ProbeOrder(random);
    }

    // -- asking

    void tick() {
        for (Distance distance : Distance.values()) {
            long now = membership.now();
            if (due.get(distance).isDue(now) && membership.hasBudget(distance)) {
                due.get(distance).restart(membership.settings().sync().at(distance), now);
                pickPeer(distance).ifPresent(peer -> compareWith(peer.controlAddress(), distance));
            }
        }
        reconnect();
    }

    /** Fetches the whole table from a few of the given members and returns how many answered. */
    int join(List<Address> controlAddresses) {
        joinAddresses.set(List.copyOf(controlAddresses));
        Set<Address> tried = new HashSet<>();
        tried.add(membership.table().local().controlAddress());
        int answered = 0;
        for (Address controlAddress : controlAddresses) {
            if (answered < JOIN_PEERS && tried.add(controlAddress) && isFetchedFrom(controlAddress)) {
                answered++;
            }
        }
        return answered;
    }

    private boolean isFetchedFrom(Address controlAddress) {
        boolean isAnswered = false;
        for (int round = 0; round < JOIN_ROUNDS; round++) {
            Comparison comparison = compareWith(controlAddress, Distance.SAME_REGION);
            isAnswered |= comparison != Comparison.FAILED;
            if (comparison != Comparison.DIFFERENT) {
                return isAnswered;
            }
        }
        return isAnswered;
    }

    private Comparison compareWith(Address controlAddress, Distance distance) {
        MemberTable table = membership.table();
        GossipMessage request = new GossipMessage.SyncRequest(
                membership.plainHeader(), table.digest().whole(), table.floors());
        Either<PeerFailure, GossipMessage> answer = membership.send(controlAddress, distance, request);
        if (answer.isLeft() || !(answer.get() instanceof GossipMessage.SyncAnswer found)) {
            return Comparison.FAILED;
        }
        membership.absorbFloors(found.floors());
        if (found.digests().isEmpty()) {
            return Comparison.SAME;
        }
        return exchangeBuckets(controlAddress, distance, found.digests());
    }

    private Comparison exchangeBuckets(Address controlAddress, Distance distance, List<Integer> digests) {
        List<Integer> buckets = membership.table().digest().difference(digests);
        GossipMessage request =
                new GossipMessage.BucketRequest(membership.plainHeader(), buckets, recordsOf(buckets, Map.of()));
        Either<PeerFailure, GossipMessage> answer = membership.send(controlAddress, distance, request);
        if (answer.isLeft() || !(answer.get() instanceof GossipMessage.BucketAnswer found)) {
            return Comparison.FAILED;
        }
        membership.absorb(found.records());
        return Comparison.DIFFERENT;
    }

    private Optional<MemberRecord> pickPeer(Distance distance) {
        MemberTable table = membership.table();
        List<MemberRecord> peers = table.reachablePeers().stream()
                .filter(record -> record.locality().distanceTo(table.locality()) == distance)
                .toList();
        return ProbeOrder.pick(peers, 1, random).stream().findFirst();
    }

    /** Tries a member that is unreachable: often while the loss is fresh, seldom afterwards. */
    private void reconnect() {
        long now = membership.now();
        if (!reconnectDue.isDue(now)) {
            return;
        }
        MemberTable table = membership.table();
        if (table.reachablePeers().isEmpty()) {
            joinAgain();
        }
        List<MemberRecord> lost = table.unreachableSince(Long.MIN_VALUE);
        List<MemberRecord> fresh = table.unreachableSince(now - FRESH_LOSS_MILLISECONDS);
        reconnectDue.restart(reconnectInterval(table, fresh), now);
        reconnectOrder.next(fresh.isEmpty() ? lost : fresh).ifPresent(this::reconnect);
    }

    /** Tries one of the addresses joined last, since no member is known that could make this node known. */
    private void joinAgain() {
        List<Address> others = joinAddresses.get().stream()
                .filter(address -> !address.equals(membership.table().local().controlAddress()))
                .toList();
        ProbeOrder.pick(others, 1, random).forEach(this::isFetchedFrom);
    }

    private long reconnectInterval(MemberTable table, List<MemberRecord> fresh) {
        if (table.isIsolated()) {
            return ISOLATED_RECONNECT_MILLISECONDS;
        }
        boolean isSeldomEnough = fresh.isEmpty() && !table.reachablePeers().isEmpty();
        return isSeldomEnough
                ? OLD_LOSS_RECONNECT_MILLISECONDS
                : membership.settings().reconnectMilliseconds();
    }

    private void reconnect(MemberRecord member) {
        Distance distance = member.locality().distanceTo(membership.table().locality());
        GossipMessage ping = new GossipMessage.Ping(membership.headerFor(member.node(), distance));
        if (Prober.isReached(member.node(), membership.send(member.controlAddress(), distance, ping))) {
            compareWith(member.controlAddress(), distance);
        }
    }

    // -- answering

    GossipMessage answer(GossipMessage.SyncRequest request) {
        membership.absorbFloors(request.floors());
        MemberTable table = membership.table();
        List<Integer> digests = table.digest().whole() == request.digest()
                ? List.of()
                : table.digest().buckets();
        GossipHeader header = membership.answerHeader(request.header().sender());
        return new GossipMessage.SyncAnswer(header, digests, table.floors());
    }

    GossipMessage answer(GossipMessage.BucketRequest request) {
        membership.absorb(request.records());
        Map<NodeId, MemberRecord> told = new HashMap<>();
        request.records().forEach(delta -> told.put(delta.node(), delta.toRecord()));
        GossipHeader header = membership.answerHeader(request.header().sender());
        return new GossipMessage.BucketAnswer(header, recordsOf(request.buckets(), told));
    }

    /** Returns the records of some buckets that say more than the other side told, bucket by bucket up to the bound. */
    private List<RecordDelta> recordsOf(List<Integer> buckets, Map<NodeId, MemberRecord> told) {
        MemberTable table = membership.table();
        Map<Integer, List<MemberRecord>> grouped = new HashMap<>();
        for (MemberRecord record : table.records()) {
            grouped.computeIfAbsent(TableDigest.bucketOf(record), bucket -> new ArrayList<>())
                    .add(record);
        }
        List<RecordDelta> records = new ArrayList<>();
        int remaining = membership.settings().syncBytes();
        for (int bucket : buckets) {
            for (MemberRecord record : grouped.getOrDefault(bucket, List.of())) {
                if (told.containsKey(record.node()) && told.get(record.node()).isSameStanding(record)) {
                    continue;
                }
                RecordDelta delta = table.entry(record.node()).orElseThrow().toDelta(membership.now());
                remaining -= delta.boundOnBytes();
                if (remaining < 0) {
                    return records;
                }
                records.add(delta);
            }
        }
        return records;
    }

    /** What came of comparing two tables. */
    private enum Comparison {
        SAME,
        DIFFERENT,
        FAILED
    }
}
