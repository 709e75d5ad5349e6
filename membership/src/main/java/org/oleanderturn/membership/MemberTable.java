package org.oleanderturn.membership;

import io.vavr.Lazy;
import io.vavr.collection.HashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.oleanderturn.model.AvailabilityZone;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.EndpointView;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.SoftwareVersion;

/**
 * A snapshot of one node's view of all members.
 *
 * <p>Invariants: the local member is always present; records only move forward, see {@link MemberRecord}; members that
 * left or are unreachable stay as tombstones for {@value #TOMBSTONE_RETENTION_MILLISECONDS} ms, so that an old record
 * can't bring them back; the version floor of a zone never decreases and outlives the tombstones. Immutable and thread
 * safe.
 */
public final class MemberTable {
    /** How long the record of a member that left or is unreachable is kept, in milliseconds. */
    public static final long TOMBSTONE_RETENTION_MILLISECONDS = 86_400_000;

    private final NodeId local;
    private final HashMap<NodeId, MemberEntry> entries;
    private final HashMap<AvailabilityZone, ConfigurationVersion> floors;
    private final Isolation isolation;
    private final Lazy<List<MemberRecord>> records;
    private final Lazy<List<MemberRecord>> reachablePeers;
    private final Lazy<Boolean> allReachable;
    private final Lazy<EndpointView> endpointView;
    private final Lazy<TableDigest> digest;

    private MemberTable(
            NodeId local,
            HashMap<NodeId, MemberEntry> entries,
            HashMap<AvailabilityZone, ConfigurationVersion> floors,
            Isolation isolation) {
        this.local = local;
        this.entries = entries;
        this.floors = floors;
        this.isolation = isolation;
        this.records = Lazy.of(this::deriveRecords);
        this.reachablePeers = Lazy.of(this::deriveReachablePeers);
        this.allReachable = Lazy.of(() -> entries.valuesIterator()
                .forAll(entry -> entry.record().liveness().isReachable()));
        this.endpointView = Lazy.of(this::deriveEndpointView);
        this.digest = Lazy.of(() -> TableDigest.of(entries.valuesIterator()));
    }

    static MemberTable of(MemberRecord local, long nowMilliseconds) {
        MemberEntry entry = MemberEntry.of(local, nowMilliseconds);
        return of(local.node(), HashMap.of(local.node(), entry))
                .withFloor(local.locality().zone(), local.heldVersion());
    }

    static MemberTable of(NodeId local, HashMap<NodeId, MemberEntry> entries) {
        return new MemberTable(local, entries, HashMap.empty(), Isolation.none());
    }

    // -- queries

    /** Returns the local member. */
    public MemberRecord local() {
        return localEntry().record();
    }

    /** Returns the record of a node, even if it left or is unreachable; empty if the node is unknown. */
    public Optional<MemberRecord> record(NodeId node) {
        return entries.get(node).map(MemberEntry::record).toJavaOptional();
    }

    /** Returns all records, including the local one and tombstones, sorted by node. */
    public List<MemberRecord> records() {
        return records.get();
    }

    /** Returns the alive or suspect members other than the local one, sorted by node. */
    public List<MemberRecord> reachablePeers() {
        return reachablePeers.get();
    }

    /** Returns the ready and draining endpoints of reachable members and those retained as {@link #isLastResort}. */
    public EndpointView endpointView() {
        return endpointView.get();
    }

    /** Returns whether so many members became unreachable at once that a network partition is suspected. */
    public boolean isIsolated() {
        return isolation.isPresent();
    }

    /** Returns whether a node is unreachable and stays in the endpoint view only because of a suspected partition. */
    public boolean isLastResort(NodeId node) {
        return entries.get(node).exists(this::isRetained);
    }

    /**
     * Returns the highest configuration version that a node is known to have held, in any incarnation; forgotten when
     * its tombstone expires.
     */
    public ConfigurationVersion highestKnownVersion(NodeId node) {
        return entries.get(node).map(MemberEntry::rememberedVersion).getOrElse(ConfigurationVersion.none());
    }

    /** Returns the highest configuration version that any node of a zone is known to have held. */
    public ConfigurationVersion highestVersionInZone(AvailabilityZone zone) {
        return floors.getOrElse(zone, ConfigurationVersion.none());
    }

    /** Returns the version floors of all known zones, sorted by zone. */
    public List<ZoneFloor> floors() {
        return floors.toJavaStream()
                .map(floor -> new ZoneFloor(floor._1(), floor._2()))
                .sorted(Comparator.comparing(ZoneFloor::zone))
                .toList();
    }

    /** Returns the members that became unreachable after the given time of this node's clock, sorted by node. */
    List<MemberRecord> unreachableSince(long milliseconds) {
        return entries.valuesIterator()
                .filter(entry -> entry.record().liveness() == Liveness.UNREACHABLE)
                .filter(entry -> entry.changedAtMilliseconds() > milliseconds)
                .map(MemberEntry::record)
                .toJavaStream()
                .sorted(Comparator.comparing(MemberRecord::node))
                .toList();
    }

    TableChanges changesSince(MemberTable earlier) {
        return TableChanges.between(earlier.entries, entries);
    }

    int size() {
        return entries.size();
    }

    boolean hasSameIsolation(MemberTable other) {
        return isolation.equals(other.isolation);
    }

    MemberEntry localEntry() {
        return entries.get(local).get();
    }

    Optional<MemberEntry> entry(NodeId node) {
        return entries.get(node).toJavaOptional();
    }

    TableDigest digest() {
        return digest.get();
    }

    // -- updates from other members

    /** Merges a received record; one about the local member that differs is refuted by a higher incarnation. */
    MemberTable merge(GossipRecord received, long nowMilliseconds) {
        MemberTable withFloors = withFloor(received.zone(), received.rememberedVersion())
                .withFloor(received.zone(), received.heldVersion());
        return received.node().equals(local)
                ? withFloors.refute(received, nowMilliseconds)
                : withFloors.mergePeer(received, nowMilliseconds);
    }

    /** Merges the configuration version of another member; it is ignored if it belongs to another incarnation. */
    MemberTable merge(HeldVersion held) {
        Optional<MemberEntry> known = entry(held.node());
        boolean isNewer = known.isPresent()
                && !held.node().equals(local)
                && known.get().record().incarnation() == held.incarnation()
                && held.version().isAfter(known.get().record().heldVersion());
        if (!isNewer) {
            return this;
        }
        MemberEntry entry = known.get();
        return put(entry.withRecord(entry.record().withHeldVersion(held.version()), entry.changedAtMilliseconds()));
    }

    MemberTable withFloor(AvailabilityZone zone, ConfigurationVersion version) {
        if (!version.isAfter(highestVersionInZone(zone))) {
            return this;
        }
        return new MemberTable(local, entries, floors.put(zone, version), isolation);
    }

    private MemberTable mergePeer(GossipRecord received, long nowMilliseconds) {
        Optional<MemberEntry> known = entry(received.node());
        MemberEntry merged = known.map(entry -> entry.mergeReport(received, nowMilliseconds))
                .orElseGet(() -> MemberEntry.of(received, nowMilliseconds));
        if (known.isPresent() && known.get().equals(merged)) {
            return this;
        }
        if (known.isEmpty() && isExpired(merged, nowMilliseconds)) {
            return this;
        }
        return put(merged);
    }

    private MemberTable refute(GossipRecord received, long nowMilliseconds) {
        MemberEntry own = localEntry();
        MemberEntry withHighestVersion = new MemberEntry(
                own.record(),
                own.changedAtMilliseconds(),
                ConfigurationVersion.newest(own.rememberedVersion(), received.rememberedVersion()));
        if (isAlreadyKnown(own.record(), received.toRecord())) {
            return own.equals(withHighestVersion) ? this : put(withHighestVersion);
        }
        long incarnation = Math.max(own.record().incarnation(), received.incarnation()) + 1;
        return put(withHighestVersion.withRecord(own.record().withIncarnation(incarnation), nowMilliseconds));
    }

    private static boolean isAlreadyKnown(MemberRecord own, MemberRecord received) {
        if (received.incarnation() < own.incarnation()) {
            return true;
        }
        boolean hasSameAddresses = received.controlAddress().equals(own.controlAddress())
                && received.endpoint().address().equals(own.endpoint().address());
        return hasSameAddresses && own.subsumes(received);
    }

    // -- local changes

    MemberTable withLocalState(EndpointState state, long nowMilliseconds) {
        return put(localEntry().withRecord(local().withState(state), nowMilliseconds));
    }

    MemberTable withLocalSoftware(SoftwareVersion version, long nowMilliseconds) {
        return put(localEntry().withRecord(local().withVersion(version), nowMilliseconds));
    }

    MemberTable withLocalLeft(long nowMilliseconds) {
        MemberRecord left = local().withState(EndpointState.LEFT).withLiveness(Liveness.LEFT);
        return put(localEntry().withRecord(left, nowMilliseconds));
    }

    MemberTable withLocalVersion(ConfigurationVersion version, long nowMilliseconds) {
        if (!version.isAfter(local().heldVersion())) {
            return this;
        }
        return put(localEntry().withRecord(local().withHeldVersion(version), nowMilliseconds));
    }

    /** Marks a member as suspect, unless its incarnation changed since the probe or its liveness is already worse. */
    MemberTable markSuspect(MemberRecord probed, long nowMilliseconds) {
        return markLiveness(probed, Liveness.SUSPECT, nowMilliseconds);
    }

    /** Marks suspects as unreachable that did not refute in time. */
    MemberTable expireSuspicions(long timeoutMilliseconds, long nowMilliseconds) {
        MemberTable table = this;
        for (MemberEntry entry : suspects()) {
            if (nowMilliseconds - entry.changedAtMilliseconds() >= timeoutMilliseconds) {
                table = table.markLiveness(entry.record(), Liveness.UNREACHABLE, nowMilliseconds);
            }
        }
        return table;
    }

    /** Restarts the suspicion timeout of every suspect. */
    MemberTable restartSuspicions(long nowMilliseconds) {
        MemberTable table = this;
        for (MemberEntry entry : suspects()) {
            table = table.put(entry.withChangedAt(nowMilliseconds));
        }
        return table;
    }

    /** Removes expired tombstones and re-evaluates the isolation. */
    MemberTable pruneAndReevaluateIsolation(long nowMilliseconds) {
        if (!isolation.isPresent() && allReachable.get()) {
            return this;
        }
        HashMap<NodeId, MemberEntry> unexpired = withoutExpired(nowMilliseconds);
        Iterable<MemberEntry> peers = () -> unexpired
                .valuesIterator()
                .filter(entry -> !entry.record().node().equals(local));
        Isolation reevaluated = isolation.reevaluate(peers, local().locality(), nowMilliseconds);
        if (unexpired.size() == entries.size() && reevaluated.equals(isolation)) {
            return this;
        }
        return new MemberTable(local, unexpired, floors, reevaluated);
    }

    private HashMap<NodeId, MemberEntry> withoutExpired(long nowMilliseconds) {
        boolean hasExpired = entries.valuesIterator().exists(entry -> isExpired(entry, nowMilliseconds));
        return hasExpired ? entries.filterValues(entry -> !isExpired(entry, nowMilliseconds)) : entries;
    }

    private MemberTable markLiveness(MemberRecord known, Liveness liveness, long nowMilliseconds) {
        Optional<MemberEntry> entry = entry(known.node());
        if (entry.isEmpty() || known.node().equals(local)) {
            return this;
        }
        MemberRecord merged = entry.get().record().merge(known.withLiveness(liveness));
        if (merged.equals(entry.get().record())) {
            return this;
        }
        return put(entry.get().withRecord(merged, nowMilliseconds));
    }

    // -- helpers

    private MemberTable put(MemberEntry entry) {
        HashMap<NodeId, MemberEntry> changed = entries.put(entry.record().node(), entry);
        return new MemberTable(local, changed, floors, isolation)
                .withFloor(entry.record().locality().zone(), entry.rememberedVersion());
    }

    private List<MemberEntry> suspects() {
        return entries.valuesIterator()
                .filter(entry -> entry.record().liveness() == Liveness.SUSPECT)
                .toJavaList();
    }

    private boolean isExpired(MemberEntry entry, long nowMilliseconds) {
        return !entry.record().node().equals(local)
                && !entry.record().liveness().isReachable()
                && nowMilliseconds - entry.changedAtMilliseconds() >= TOMBSTONE_RETENTION_MILLISECONDS;
    }

    private boolean isRetained(MemberEntry entry) {
        return isolation.retains(entry, local().locality());
    }

    private List<MemberRecord> deriveRecords() {
        return entries.valuesIterator()
                .map(MemberEntry::record)
                .toJavaStream()
                .sorted(Comparator.comparing(MemberRecord::node))
                .toList();
    }

    private List<MemberRecord> deriveReachablePeers() {
        return records().stream()
                .filter(record ->
                        record.liveness().isReachable() && !record.node().equals(local))
                .toList();
    }

    private EndpointView deriveEndpointView() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (MemberEntry entry : entries.valuesIterator()) {
            Endpoint endpoint = entry.record().endpoint();
            boolean isServing = endpoint.state() == EndpointState.READY || endpoint.state() == EndpointState.DRAINING;
            if (isServing && (entry.record().liveness().isReachable() || isRetained(entry))) {
                endpoints.add(endpoint);
            }
        }
        return EndpointView.of(endpoints);
    }

    Locality locality() {
        return local().locality();
    }
}
