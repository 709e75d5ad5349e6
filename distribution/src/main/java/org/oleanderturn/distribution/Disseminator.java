package org.oleanderturn.distribution;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Region;

/**
 * Spreads versions between nodes: each node that adopts one pushes it to a few peers of its zone, relays push it to the
 * other zones and offer it to the other regions, and slow rounds of anti-entropy find what pushes missed.
 *
 * <p>Invariants: what is sent never exceeds what is held, and the receiver's holder decides, so a late or repeated
 * message can't move a node back; a version is pushed by one node once. No thread is started here: the owner calls
 * {@link #disseminate}, {@link #pull} and {@link #tick} on its executors. Thread safe.
 */
public final class Disseminator {
    private static final int OWN_ZONE_FANOUT = 3;
    private static final int OTHER_ZONE_FANOUT = 2;
    private static final int OTHER_REGION_FANOUT = 2;
    private static final long OWN_ZONE_ROUND_MILLISECONDS = 2_000;
    private static final long OTHER_ZONES_ROUND_MILLISECONDS = 5_000;
    private static final long OTHER_REGIONS_ROUND_MILLISECONDS = 10_000;

    private final ConfigurationHolder holder;
    private final UpdateSource source;
    private final ConfigurationTransport transport;
    private final PeerSelector selector;
    private final RelayRole role;
    private final UpdateFetcher fetcher;
    private final boolean isInPlatformRegion;
    private final AtomicReference<ConfigurationVersion> disseminate =
            new AtomicReference<>(ConfigurationVersion.none());
    private final LongAdder pushes = new LongAdder();
    private final LongAdder failedPushes = new LongAdder();
    private long nextOwnZoneRoundMilliseconds;
    private long nextOtherZonesRoundMilliseconds;
    private long nextOtherRegionsRoundMilliseconds;
    private long otherRegionsRounds;

    private Disseminator(
            ConfigurationHolder holder,
            UpdateSource source,
            ConfigurationTransport peers,
            PeerSelector choice,
            RelayRole role,
            boolean isInPlatformRegion) {
        this.holder = holder;
        this.source = source;
        this.transport = peers;
        this.selector = choice;
        this.role = role;
        this.fetcher = UpdateFetcher.of(holder, peers, choice, role);
        this.isInPlatformRegion = isInPlatformRegion;
    }

    /**
     * Returns a spreader of what a holder holds.
     *
     * @param locality where this node stands
     * @param platformRegion the region of the platform's store
     */
    public static Disseminator of(
            ConfigurationHolder holder,
            UpdateSource source,
            ConfigurationTransport peers,
            PeerDirectory directory,
            RelayRole role,
            Locality locality,
            Region platformRegion,
            RandomGenerator random) {
        Objects.requireNonNull(holder, "holder is null");
        Objects.requireNonNull(source, "source is null");
        Objects.requireNonNull(platformRegion, "platformRegion is null");
        PeerSelector choice = PeerSelector.of(directory, locality, random);
        boolean isInPlatformRegion = locality.region().equals(platformRegion);
        return new Disseminator(holder, source, peers, choice, role, isInPlatformRegion);
    }

    // -- queries

    /** Returns whether a held version is still to be pushed. */
    public boolean isDisseminationDue() {
        return holder.version().isAfter(disseminate.get());
    }

    /** Returns whether a newer version was heard of that {@link #pull} is to fetch. */
    public boolean isPullDue() {
        return fetcher.isDue();
    }

    /** Returns the newest version that this node holds or ever heard of; it never falls. */
    public ConfigurationVersion newestKnown() {
        return ConfigurationVersion.newest(holder.version(), fetcher.newestAdvertised());
    }

    /** Returns the answer to a restarted node that asks what it has to catch up with. */
    public PeerVersionReport reportVersions(NodeId self, boolean isReady) {
        Objects.requireNonNull(self, "self is null");
        return new PeerVersionReport(self, isReady, holder.version(), newestKnown());
    }

    /** Returns the update for a peer that asks with what it holds. */
    public ConfigurationUpdate serve(ConfigurationVersion held, Digest heldDigest, long nowMilliseconds) {
        return source.serve(held, heldDigest, nowMilliseconds);
    }

    /** Returns how many messages were pushed, and how many of them failed. */
    public DisseminationStatus status() {
        return new DisseminationStatus(
                pushes.sum(), failedPushes.sum(), source.deltas(), source.snapshots(), source.refusals());
    }

    // -- commands: what comes from peers

    /** Takes note of a version that a peer mentioned; {@link #pull} fetches it. */
    public void recordAdvertisedVersion(Address peer, ConfigurationVersion version) {
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(version, "version is null");
        fetcher.recordAdvertisedVersion(peer, version);
    }

    /** Takes an update that a peer pushed and answers what was made of it. */
    public PushResponse receive(Address peer, ConfigurationUpdate update) {
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(update, "update is null");
        return switch (update) {
            case ConfigurationUpdate.Current current -> {
                recordAdvertisedVersion(peer, current.version());
                yield responseTo(current.version());
            }
            case ConfigurationUpdate.Delta delta -> {
                fetcher.recordOrigin(peer, delta.delta().to());
                yield responseFor(holder.adopt(delta.delta()));
            }
            case ConfigurationUpdate.Snapshot snapshot -> {
                fetcher.recordOrigin(peer, snapshot.snapshot().version());
                yield responseFor(holder.adopt(snapshot.snapshot()));
            }
            case ConfigurationUpdate.Busy _ -> new PushResponse.AlreadyHeld(holder.version());
        };
    }

    // -- commands: what the owner's executors run

    /** Pushes the held version where it has to go, once. */
    public void disseminate(long nowMilliseconds) {
        ConfigurationVersion version = holder.version();
        ConfigurationVersion before = disseminate.getAndAccumulate(version, ConfigurationVersion::newest);
        if (!version.isAfter(before)) {
            return;
        }
        boolean isRelay = role.isRelay(nowMilliseconds);
        selector.fromOwnZone(OWN_ZONE_FANOUT).forEach(peer -> push(peer, nowMilliseconds));
        if (isRelay || fetcher.isFromOtherRegion(version)) {
            selector.fromEachOtherZone(OTHER_ZONE_FANOUT).forEach(peer -> push(peer, nowMilliseconds));
        }
        if (isRelay && isInPlatformRegion) {
            selector.fromEachOtherRegion(OTHER_REGION_FANOUT, version.number())
                    .forEach(peer -> send(peer, versionOnly(), nowMilliseconds));
        }
    }

    /** Fetches a newer version that was heard of, if any. */
    public void pull(long nowMilliseconds) {
        fetcher.pull(nowMilliseconds);
    }

    /** Runs the rounds of anti-entropy that are due; to be called several times a second, by one thread at a time. */
    public void tick(long nowMilliseconds) {
        pull(nowMilliseconds);
        if (nowMilliseconds >= nextOwnZoneRoundMilliseconds) {
            nextOwnZoneRoundMilliseconds = nowMilliseconds + selector.jittered(OWN_ZONE_ROUND_MILLISECONDS);
            selector.fromOwnZone(1).forEach(peer -> fetcher.fetch(peer.address(), nowMilliseconds));
        }
        if (!role.isRelay(nowMilliseconds)) {
            return;
        }
        if (nowMilliseconds >= nextOtherZonesRoundMilliseconds) {
            nextOtherZonesRoundMilliseconds = nowMilliseconds + selector.jittered(OTHER_ZONES_ROUND_MILLISECONDS);
            selector.fromEachOtherZone(1).forEach(peer -> push(peer, nowMilliseconds));
        }
        if (isInPlatformRegion && nowMilliseconds >= nextOtherRegionsRoundMilliseconds) {
            nextOtherRegionsRoundMilliseconds = nowMilliseconds + selector.jittered(OTHER_REGIONS_ROUND_MILLISECONDS);
            selector.fromEachOtherRegion(1, otherRegionsRounds++)
                    .forEach(peer -> send(peer, versionOnly(), nowMilliseconds));
        }
    }

    private ConfigurationUpdate versionOnly() {
        return new ConfigurationUpdate.Current(holder.version());
    }

    private void push(Peer peer, long nowMilliseconds) {
        send(peer, source.offer(peer.heldVersion()), nowMilliseconds);
    }

    /** Sends an update, and a second one when the answer says what the peer really holds. */
    private void send(Peer peer, ConfigurationUpdate first, long nowMilliseconds) {
        Either<PeerFailure, PushResponse> answer = sendOnce(peer, first);
        if (answer.isLeft() || !(answer.get() instanceof PushResponse.Behind behind)) {
            return;
        }
        boolean isDeltaUnfit = first instanceof ConfigurationUpdate.Delta delta
                && delta.delta().from().equals(behind.held())
                && delta.delta().base().equals(behind.digest());
        ConfigurationSnapshot current = holder.held();
        ConfigurationUpdate second = isDeltaUnfit
                ? source.snapshot(current, nowMilliseconds)
                : source.serve(behind.held(), behind.digest(), nowMilliseconds);
        if (second instanceof ConfigurationUpdate.Busy) {
            return;
        }
        var _ = sendOnce(peer, second);
    }

    private Either<PeerFailure, PushResponse> sendOnce(Peer peer, ConfigurationUpdate update) {
        pushes.increment();
        Either<PeerFailure, PushResponse> answer = transport.push(peer.address(), update);
        answer.peekLeft(_ -> failedPushes.increment());
        if (answer.isRight() && answer.get() instanceof PushResponse.AlreadyHeld already) {
            recordAdvertisedVersion(peer.address(), already.held());
        }
        return answer;
    }

    private PushResponse responseTo(ConfigurationVersion offered) {
        ConfigurationSnapshot held = holder.held();
        return offered.isAfter(held.version())
                ? new PushResponse.Behind(held.version(), held.digest())
                : new PushResponse.AlreadyHeld(held.version());
    }

    private PushResponse responseFor(AdoptionResult adoption) {
        ConfigurationSnapshot held = holder.held();
        return switch (adoption) {
            case AdoptionResult.Adopted adopted -> new PushResponse.Adopted(adopted.to());
            case AdoptionResult.AlreadyHeld _, AdoptionResult.Older _ -> new PushResponse.AlreadyHeld(held.version());
            case AdoptionResult.OtherBase _ -> new PushResponse.Behind(held.version(), held.digest());
            case AdoptionResult.Rejected rejected -> responseTo(rejected, held);
        };
    }

    private static PushResponse responseTo(AdoptionResult.Rejected rejected, ConfigurationSnapshot held) {
        return switch (rejected.rejection()) {
            case AdoptionResult.Rejection.DeltaMismatch _ -> new PushResponse.Behind(held.version(), held.digest());
            case AdoptionResult.Rejection.NotIntact _,
                    AdoptionResult.Rejection.Invalid _,
                    AdoptionResult.Rejection.OtherContent _ -> new PushResponse.Rejected(held.version());
        };
    }
}
