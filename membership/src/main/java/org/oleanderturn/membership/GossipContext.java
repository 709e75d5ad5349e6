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
 * The table, the records to pass on and the budgets, shared by the parts of the protocol.
 *
 * <p>Invariant: the table is replaced as a whole by compare-and-swap. No lock is held over a call to a peer. Thread
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
            GossipTransport peers,
            LongSupplier clockMilliseconds,
            MembershipListener listener) {
        long now = clockMilliseconds.getAsLong();
        this.table = new AtomicReference<>(table);
        this.settings = settings;
        this.transport = peers;
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

    /** Returns whether bytes that can wait may be sent over a distance now. */
    boolean hasBudget(Distance distance) {
        long now = now();
        return budget.isAvailable(now) && (distance != Distance.OTHER_REGION || crossRegionBudget.isAvailable(now));
    }

    Distance distanceTo(GossipRecord member) {
        return member.toRecord().locality().distanceTo(table().locality());
    }

    // -- changes of the table

    /** Replaces the table and returns whether it changed. */
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

    /** Takes in what a message carries. */
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

    /** Takes in records and returns whether they said anything new. */
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

    /** Returns the header of a message to a member whose record is told to it unless it is plainly alive. */
    GossipHeader headerFor(NodeId receiver, Distance distance) {
        Optional<GossipRecord> told = table().entry(receiver)
                .filter(entry -> entry.record().liveness() != Liveness.ALIVE)
                .map(entry -> entry.toGossipRecord(now()));
        return header(told, distance);
    }

    /** Returns the header of an answer; the asker is told its own record where it said less. */
    GossipHeader answerHeader(GossipRecord asker) {
        Optional<GossipRecord> told = table().entry(asker.node())
                .filter(entry -> !entry.record().hasSameStatus(asker.toRecord()))
                .map(entry -> entry.toGossipRecord(now()));
        return header(told, distanceTo(asker));
    }

    /** Returns the header of a message that passes nothing on. */
    GossipHeader minimalHeader() {
        MemberTable current = table();
        return new GossipHeader(
                current.localEntry().toGossipRecord(now()),
                current.highestVersionInZone(current.locality().zone()),
                List.of(),
                List.of());
    }

    private GossipHeader header(Optional<GossipRecord> told, Distance distance) {
        GossipHeader plain = minimalHeader();
        List<GossipRecord> records = new ArrayList<>();
        told.ifPresent(records::add);
        if (!hasBudget(distance)) {
            return new GossipHeader(plain.sender(), plain.zoneFloor(), records, List.of());
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
        return new GossipHeader(plain.sender(), plain.zoneFloor(), records, held);
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

    /** Charges a message to the budgets, whether they cover it or not. */
    void charge(GossipMessage message, int receivers, Distance distance) {
        long bytes = (long) receivers * Codec.messagePack().encode(message).length;
        long now = now();
        budget.charge(bytes, now);
        if (distance == Distance.OTHER_REGION) {
            crossRegionBudget.charge(bytes, now);
        }
    }
}
