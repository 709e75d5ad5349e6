package org.oleanderturn.distribution;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.concurrent.Executor;
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
 * Disseminates configuration versions between nodes: each node that adopts a version pushes it to a few peers in its
 * zone, relays push it to the other zones and advertise it to the other regions, and periodic anti-entropy rounds
 * repair what pushes missed.
 *
 * <p>Invariants: a node sends only versions that it holds, and the receiver's holder decides about adoption, so a
 * delayed or duplicate message cannot make a node revert; {@link #disseminate} pushes each version at most once. This
 * class starts no threads: the owner calls {@link #disseminate}, {@link #pull} and {@link #tick} on its executors, and
 * transfers run on the executor that it gives. Thread safe, except that {@link #tick} is for one thread at a time.
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
    private final Executor executor;
    private final boolean isInPlatformRegion;
    private final AtomicReference<ConfigurationVersion> newestPushed =
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
            ConfigurationTransport transport,
            PeerSelector selector,
            RelayRole role,
            Executor executor,
            boolean isInPlatformRegion) {
        this.executor = executor;
        this.holder = holder;
        this.source = source;
        this.transport = transport;
        this.selector = selector;
        this.role = role;
        this.fetcher = UpdateFetcher.of(holder, transport, selector, role);
        this.isInPlatformRegion = isInPlatformRegion;
    }

    /**
     * Returns a disseminator of the versions that the given holder adopts.
     *
     * @param locality the location of this node
     * @param platformRegion the region of the platform's store
     * @param executor runs transfers, so that a slow peer holds up no other
     */
    public static Disseminator of(
            ConfigurationHolder holder,
            UpdateSource source,
            ConfigurationTransport transport,
            PeerDirectory directory,
            RelayRole role,
            Locality locality,
            Region platformRegion,
            Executor executor,
            RandomGenerator random) {
        Objects.requireNonNull(executor, "executor is null");
        Objects.requireNonNull(holder, "holder is null");
        Objects.requireNonNull(source, "source is null");
        Objects.requireNonNull(platformRegion, "platformRegion is null");
        PeerSelector selector = PeerSelector.of(directory, locality, random);
        boolean isInPlatformRegion = locality.region().equals(platformRegion);
        return new Disseminator(holder, source, transport, selector, role, executor, isInPlatformRegion);
    }

    // -- queries

    /** Returns whether the held version has not been pushed yet. */
    public boolean isDisseminationDue() {
        return holder.version().isAfter(newestPushed.get());
    }

    /** Returns whether a peer has advertised a newer version, which {@link #pull} fetches. */
    public boolean isPullDue() {
        return fetcher.isDue();
    }

    /** Returns the version that this node holds. */
    public ConfigurationVersion heldVersion() {
        return holder.version();
    }

    /** Returns the newest version that this node holds or that a peer has advertised; it never decreases. */
    public ConfigurationVersion newestKnown() {
        return ConfigurationVersion.newest(holder.version(), fetcher.newestAdvertised());
    }

    /** Returns whether peers offer a newer version in a form that this release can't decode. */
    public boolean isOfferUndecodable() {
        return fetcher.isUndecodable();
    }

    /** Returns the versions known to this node, for a restarted node that has to catch up. */
    public PeerVersionReport reportVersions(NodeId self, boolean isReady) {
        Objects.requireNonNull(self, "self is null");
        return new PeerVersionReport(self, isReady, holder.version(), newestKnown());
    }

    /** Returns the update for a peer that holds the given version and digest. */
    public ConfigurationUpdate serve(ConfigurationVersion held, Digest heldDigest, long nowMilliseconds) {
        return source.serve(held, heldDigest, nowMilliseconds);
    }

    /** Returns the counts of pushes, served updates and refusals since the start. */
    public DisseminationStatus status() {
        return new DisseminationStatus(
                pushes.sum(), failedPushes.sum(), source.deltas(), source.snapshots(), source.refusals());
    }

    // -- commands: messages from peers

    /** Records that a peer holds a version, for {@link #pull} to fetch it if it is newer than the held one. */
    public void recordAdvertisedVersion(Address peer, ConfigurationVersion version) {
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(version, "version is null");
        fetcher.recordAdvertisedVersion(peer, version);
    }

    /** Processes an update pushed by a peer and returns the response to it. */
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
                yield responseFor(holder.adopt(delta.delta(), new VersionOrigin.Push(peer)));
            }
            case ConfigurationUpdate.Snapshot snapshot -> {
                fetcher.recordOrigin(peer, snapshot.snapshot().version());
                yield responseFor(holder.adopt(snapshot.snapshot(), new VersionOrigin.Push(peer)));
            }
            case ConfigurationUpdate.Busy _ -> new PushResponse.AlreadyHeld(holder.version());
        };
    }

    // -- commands: periodic work, run by the owner's executors

    /** Pushes the held version to a few selected peers, unless this node has already done so. */
    public void disseminate(long nowMilliseconds) {
        ConfigurationVersion version = holder.version();
        ConfigurationVersion before = newestPushed.getAndAccumulate(version, ConfigurationVersion::newest);
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

    /** Fetches the newest advertised version if it is newer than the held one. */
    public void pull(long nowMilliseconds) {
        fetcher.selectPeer(nowMilliseconds).ifPresent(peer -> fetch(peer, nowMilliseconds));
    }

    private void fetch(Address peer, long nowMilliseconds) {
        executor.execute(() -> fetcher.fetch(peer, nowMilliseconds));
    }

    /** Runs the anti-entropy rounds that are due. Call it several times a second, from one thread at a time. */
    public void tick(long nowMilliseconds) {
        pull(nowMilliseconds);
        if (nowMilliseconds >= nextOwnZoneRoundMilliseconds) {
            nextOwnZoneRoundMilliseconds = nowMilliseconds + selector.jittered(OWN_ZONE_ROUND_MILLISECONDS);
            selector.fromOwnZone(1).forEach(peer -> fetch(peer.address(), nowMilliseconds));
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

    private void send(Peer peer, ConfigurationUpdate first, long nowMilliseconds) {
        executor.execute(() -> exchange(peer, first, nowMilliseconds));
    }

    /**
     * Pushes an update, and a second one if the response says that the peer holds another version than presumed. A
     * delta that did not apply although its base was right is followed by the full snapshot.
     */
    private void exchange(Peer peer, ConfigurationUpdate first, long nowMilliseconds) {
        Either<PeerFailure, PushResponse> response = sendOnce(peer, first);
        if (response.isLeft() || !(response.get() instanceof PushResponse.Behind behind)) {
            return;
        }
        boolean isDeltaRejected = first instanceof ConfigurationUpdate.Delta delta
                && delta.delta().from().equals(behind.held())
                && delta.delta().base().equals(behind.digest());
        ConfigurationSnapshot current = holder.held();
        ConfigurationUpdate second = isDeltaRejected
                ? source.snapshot(current, nowMilliseconds)
                : source.serve(behind.held(), behind.digest(), nowMilliseconds);
        if (second instanceof ConfigurationUpdate.Busy) {
            return;
        }
        var _ = sendOnce(peer, second);
    }

    private Either<PeerFailure, PushResponse> sendOnce(Peer peer, ConfigurationUpdate update) {
        pushes.increment();
        Either<PeerFailure, PushResponse> response = transport.push(peer.address(), update);
        response.peekLeft(_ -> failedPushes.increment());
        if (response.isRight() && response.get() instanceof PushResponse.AlreadyHeld alreadyHeld) {
            recordAdvertisedVersion(peer.address(), alreadyHeld.held());
        }
        return response;
    }

    private PushResponse responseTo(ConfigurationVersion offered) {
        ConfigurationSnapshot held = holder.held();
        return offered.isAfter(held.version())
                ? new PushResponse.Behind(held.version(), held.digest())
                : new PushResponse.AlreadyHeld(held.version());
    }

    private PushResponse responseFor(AdoptionResult result) {
        ConfigurationSnapshot held = holder.held();
        return switch (result) {
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
