package org.oleanderturn.membership;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.Locality.Distance;
import org.oleanderturn.model.NodeId;

/**
 * State and message handling shared by the components of the protocol: the member table, the queues of updates to pass
 * on, and the bandwidth budgets.
 *
 * <p>Invariants: the table is replaced as a whole by compare-and-swap; no lock is held during a call to a peer. Thread
 * safe.
 */
final class GossipContext {
    private final AtomicReference<MemberTable> table;
    private final TransmissionQueue<GossipRecord> recordQueue =
            new TransmissionQueue<>(GossipRecord::maximumEncodedBytes);
    private final TransmissionQueue<HeldVersion> heldVersionQueue =
            new TransmissionQueue<>(HeldVersion::maximumEncodedBytes);
    private final GossipSettings settings;
    private final GossipTransport transport;
    private final LongSupplier clockMilliseconds;
    private final MembershipListener listener;
    private final ByteBudget budget;
    private final ByteBudget crossRegionBudget;

    GossipContext(
            MemberTable table,
            GossipSettings settings,
            GossipTransport transport,
            LongSupplier clockMilliseconds,
            MembershipListener listener) {
        long now = clockMilliseconds.getAsLong();
        this.table = new AtomicReference<>(table);
        this.settings = settings;
        this.transport = transport;
        this.clockMilliseconds = clockMilliseconds;
        this.listener = listener;
        this.budget = ByteBudget.of(settings.bytesPerSecond(), now);
        this.crossRegionBudget = ByteBudget.of(settings.crossRegionBytesPerSecond(), now);
        recordQueue.add(table.local().node());
    }

    // -- queries

    MemberTable table() {
        return table.get();
    }

    GossipSettings settings() {
        return settings;
    }

    long now() {
        return clockMilliseconds.getAsLong();
    }

    /** Returns whether the bandwidth budgets now allow optional data to be sent over the given distance. */
    boolean hasBudget(Distance distance) {
        long now = now();
        return budget.isAvailable(now) && (distance != Distance.OTHER_REGION || crossRegionBudget.isAvailable(now));
    }

    Distance distanceTo(GossipRecord member) {
        return member.toRecord().locality().distanceTo(table().locality());
    }

    // -- changes of the table

    /** Applies a change to the table, retrying on concurrent updates, and returns whether the table changed. */
    boolean update(UnaryOperator<MemberTable> change) {
        while (true) {
            MemberTable before = table.get();
            MemberTable after = change.apply(before);
            if (after == before) {
                return false;
            }
            if (table.compareAndSet(before, after)) {
                publish(before, after);
                return true;
            }
        }
    }

    private void publish(MemberTable before, MemberTable after) {
        TableChanges changes = after.changesSince(before);
        changes.statusChanged().forEach(recordQueue::add);
        changes.versionChanged().forEach(heldVersionQueue::add);
        if (!changes.statusChanged().isEmpty() || !after.hasSameIsolation(before)) {
            listener.tableChanged();
        }
    }

    /** Merges the sender's record and the piggybacked updates of a message. */
    void merge(GossipHeader header) {
        long now = now();
        update(known -> {
            MemberTable merged = known.withFloor(header.sender().zone(), header.zoneFloor());
            merged = merged.merge(header.sender(), now);
            merged = mergeAll(merged, header.records(), now);
            for (HeldVersion held : header.held()) {
                merged = merged.merge(held);
            }
            return merged == known ? known : merged.pruneAndReevaluateIsolation(now);
        });
    }

    /** Merges records and returns whether they contained anything new. */
    boolean merge(List<GossipRecord> records) {
        long now = now();
        return update(known -> {
            MemberTable merged = mergeAll(known, records, now);
            return merged == known ? known : merged.pruneAndReevaluateIsolation(now);
        });
    }

    void mergeFloors(List<ZoneFloor> floors) {
        update(known -> {
            MemberTable merged = known;
            for (ZoneFloor floor : floors) {
                merged = merged.withFloor(floor.zone(), floor.version());
            }
            return merged;
        });
    }

    private static MemberTable mergeAll(MemberTable known, List<GossipRecord> records, long now) {
        MemberTable merged = known;
        for (GossipRecord record : records) {
            merged = merged.merge(record, now);
        }
        return merged;
    }

    // -- messages

    /**
     * Returns the header of a message to a member. It includes that member's own record if this node doesn't consider
     * it alive, so that the member can refute.
     */
    GossipHeader headerFor(NodeId receiver, Distance distance) {
        Optional<GossipRecord> receiverRecord = table().entry(receiver)
                .filter(entry -> entry.record().liveness() != Liveness.ALIVE)
                .map(entry -> entry.toGossipRecord(now()));
        return header(receiverRecord, distance);
    }

    /**
     * Returns the header of an answer. It includes the requester's own record if this node has a different one, so that
     * the requester can refute.
     */
    GossipHeader answerHeader(GossipRecord requester) {
        Optional<GossipRecord> receiverRecord = table().entry(requester.node())
                .filter(entry -> !entry.record().hasSameStatus(requester.toRecord()))
                .map(entry -> entry.toGossipRecord(now()));
        return header(receiverRecord, distanceTo(requester));
    }

    /** Returns a header without piggybacked updates. */
    GossipHeader minimalHeader() {
        MemberTable current = table();
        return new GossipHeader(
                current.localEntry().toGossipRecord(now()),
                current.highestVersionInZone(current.locality().zone()),
                List.of(),
                List.of());
    }

    private GossipHeader header(Optional<GossipRecord> receiverRecord, Distance distance) {
        GossipHeader minimal = minimalHeader();
        List<GossipRecord> records = new ArrayList<>();
        receiverRecord.ifPresent(records::add);
        if (!hasBudget(distance)) {
            return new GossipHeader(minimal.sender(), minimal.zoneFloor(), records, List.of());
        }
        MemberTable current = table();
        long now = now();
        int limit = settings.transmissionLimit(current.size());
        records.addAll(recordQueue.take(
                settings.piggybackBytes(), limit, node -> current.entry(node).map(entry -> entry.toGossipRecord(now))));
        List<HeldVersion> held = distance == Distance.OTHER_REGION
                ? List.of()
                : heldVersionQueue.take(
                        settings.heldVersionBytes(),
                        limit,
                        node -> current.record(node).map(HeldVersion::of));
        return new GossipHeader(minimal.sender(), minimal.zoneFloor(), records, held);
    }

    Either<GossipFailure, GossipMessage> send(Address controlAddress, Distance distance, GossipMessage message) {
        charge(message, 1, distance);
        return transport.exchange(controlAddress, message).peek(answer -> merge(answer.header()));
    }

    List<Either<GossipFailure, GossipMessage>> sendAll(
            List<Address> controlAddresses, Distance distance, GossipMessage message) {
        charge(message, controlAddresses.size(), distance);
        List<Either<GossipFailure, GossipMessage>> answers = transport.exchangeAll(controlAddresses, message);
        answers.forEach(answer -> answer.peek(received -> merge(received.header())));
        return answers;
    }

    void push(List<Address> controlAddresses, Distance distance, GossipMessage message) {
        if (!controlAddresses.isEmpty()) {
            charge(message, controlAddresses.size(), distance);
            transport.push(controlAddresses, message);
        }
    }

    /** Charges a message to the budgets, even if they are exhausted. */
    void charge(GossipMessage message, int receivers, Distance distance) {
        long bytes = (long) receivers * Codec.messagePack().encode(message).length;
        long now = now();
        budget.charge(bytes, now);
        if (distance == Distance.OTHER_REGION) {
            crossRegionBudget.charge(bytes, now);
        }
    }
}
