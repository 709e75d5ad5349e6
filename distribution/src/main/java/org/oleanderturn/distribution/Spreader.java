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
 * {@link #spread}, {@link #pull} and {@link #tick} on its executors. Thread safe.
 */
public final class Spreader {
    private static final int FANOUT_IN_ZONE = 3;
    private static final int FANOUT_PER_ZONE = 2;
    private static final int FANOUT_PER_REGION = 2;
    private static final long ZONE_ROUND_MILLISECONDS = 2_000;
    private static final long REGION_ROUND_MILLISECONDS = 5_000;
    private static final long ACROSS_ROUND_MILLISECONDS = 10_000;

    private final ConfigurationHolder holder;
    private final UpdateSource source;
    private final ConfigurationPeers peers;
    private final PeerChoice choice;
    private final RelayRole role;
    private final Puller puller;
    private final boolean isInPlatformRegion;
    private final AtomicReference<ConfigurationVersion> spread = new AtomicReference<>(ConfigurationVersion.none());
    private final LongAdder pushes = new LongAdder();
    private final LongAdder failedPushes = new LongAdder();
    private long nextZoneRoundMilliseconds;
    private long nextRegionRoundMilliseconds;
    private long nextAcrossRoundMilliseconds;
    private long acrossRounds;

    private Spreader(
            ConfigurationHolder holder,
            UpdateSource source,
            ConfigurationPeers peers,
            PeerChoice choice,
            RelayRole role,
            boolean isInPlatformRegion) {
        this.holder = holder;
        this.source = source;
        this.peers = peers;
        this.choice = choice;
        this.role = role;
        this.puller = Puller.of(holder, peers, choice, role);
        this.isInPlatformRegion = isInPlatformRegion;
    }

    /**
     * Returns a spreader of what a holder holds.
     *
     * @param locality where this node stands
     * @param platformRegion the region of the platform's store
     */
    public static Spreader of(
            ConfigurationHolder holder,
            UpdateSource source,
            ConfigurationPeers peers,
            PeerDirectory directory,
            RelayRole role,
            Locality locality,
            Region platformRegion,
            RandomGenerator random) {
        Objects.requireNonNull(holder, "holder is null");
        Objects.requireNonNull(source, "source is null");
        Objects.requireNonNull(platformRegion, "platformRegion is null");
        PeerChoice choice = PeerChoice.of(directory, locality, random);
        boolean isInPlatformRegion = locality.region().equals(platformRegion);
        return new Spreader(holder, source, peers, choice, role, isInPlatformRegion);
    }

    // -- queries

    /** Returns whether a held version is still to be pushed. */
    public boolean isSpreadDue() {
        return holder.version().isAfter(spread.get());
    }

    /** Returns whether a newer version was heard of that {@link #pull} is to fetch. */
    public boolean isPullDue() {
        return puller.isDue();
    }

    /** Returns the newest version that this node holds or ever heard of; it never falls. */
    public ConfigurationVersion newestKnown() {
        return ConfigurationVersion.newest(holder.version(), puller.newestHeard());
    }

    /** Returns the answer to a restarted node that asks what it has to catch up with. */
    public PeerRecollection recollect(NodeId self, boolean isReady) {
        Objects.requireNonNull(self, "self is null");
        return new PeerRecollection(self, isReady, holder.version(), newestKnown());
    }

    /** Returns the update for a peer that asks with what it holds. */
    public ConfigurationUpdate serve(ConfigurationVersion held, Digest heldDigest, long nowMilliseconds) {
        return source.serve(held, heldDigest, nowMilliseconds);
    }

    /** Returns how many messages were pushed, and how many of them failed. */
    public SpreadStatus status() {
        return new SpreadStatus(
                pushes.sum(), failedPushes.sum(), source.deltas(), source.snapshots(), source.refusals());
    }

    // -- commands: what comes from peers

    /** Takes note of a version that a peer mentioned; {@link #pull} fetches it. */
    public void heard(Address peer, ConfigurationVersion version) {
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(version, "version is null");
        puller.heard(peer, version);
    }

    /** Takes an update that a peer pushed and answers what was made of it. */
    public PushAnswer receive(Address peer, ConfigurationUpdate update) {
        Objects.requireNonNull(peer, "peer is null");
        Objects.requireNonNull(update, "update is null");
        return switch (update) {
            case ConfigurationUpdate.Current current -> {
                heard(peer, current.version());
                yield answerTo(current.version());
            }
            case ConfigurationUpdate.Delta delta -> {
                puller.arriving(peer, delta.delta().to());
                yield answer(holder.adopt(delta.delta()));
            }
            case ConfigurationUpdate.Snapshot snapshot -> {
                puller.arriving(peer, snapshot.snapshot().version());
                yield answer(holder.adopt(snapshot.snapshot()));
            }
            case ConfigurationUpdate.Busy _ -> new PushAnswer.AlreadyHeld(holder.version());
        };
    }

    // -- commands: what the owner's executors run

    /** Pushes the held version where it has to go, once. */
    public void spread(long nowMilliseconds) {
        ConfigurationVersion version = holder.version();
        ConfigurationVersion before = spread.getAndAccumulate(version, ConfigurationVersion::newest);
        if (!version.isAfter(before)) {
            return;
        }
        boolean isRelay = role.isRelay(nowMilliseconds);
        choice.ofOwnZone(FANOUT_IN_ZONE).forEach(peer -> push(peer, nowMilliseconds));
        if (isRelay || puller.isFromAfar(version)) {
            choice.ofEachOtherZone(FANOUT_PER_ZONE).forEach(peer -> push(peer, nowMilliseconds));
        }
        if (isRelay && isInPlatformRegion) {
            choice.ofEachOtherRegion(FANOUT_PER_REGION, version.number())
                    .forEach(peer -> send(peer, currentOnly(), nowMilliseconds));
        }
    }

    /** Fetches a newer version that was heard of, if any. */
    public void pull(long nowMilliseconds) {
        puller.pull(nowMilliseconds);
    }

    /** Runs the rounds of anti-entropy that are due; to be called several times a second, by one thread at a time. */
    public void tick(long nowMilliseconds) {
        pull(nowMilliseconds);
        if (nowMilliseconds >= nextZoneRoundMilliseconds) {
            nextZoneRoundMilliseconds = nowMilliseconds + choice.jittered(ZONE_ROUND_MILLISECONDS);
            choice.ofOwnZone(1).forEach(peer -> puller.fetch(peer.address(), nowMilliseconds));
        }
        if (!role.isRelay(nowMilliseconds)) {
            return;
        }
        if (nowMilliseconds >= nextRegionRoundMilliseconds) {
            nextRegionRoundMilliseconds = nowMilliseconds + choice.jittered(REGION_ROUND_MILLISECONDS);
            choice.ofEachOtherZone(1).forEach(peer -> push(peer, nowMilliseconds));
        }
        if (isInPlatformRegion && nowMilliseconds >= nextAcrossRoundMilliseconds) {
            nextAcrossRoundMilliseconds = nowMilliseconds + choice.jittered(ACROSS_ROUND_MILLISECONDS);
            choice.ofEachOtherRegion(1, acrossRounds++).forEach(peer -> send(peer, currentOnly(), nowMilliseconds));
        }
    }

    private ConfigurationUpdate currentOnly() {
        return new ConfigurationUpdate.Current(holder.version());
    }

    private void push(Peer peer, long nowMilliseconds) {
        send(peer, source.offer(peer.heldVersion()), nowMilliseconds);
    }

    /** Sends an update, and a second one when the answer says what the peer really holds. */
    private void send(Peer peer, ConfigurationUpdate first, long nowMilliseconds) {
        Either<PeerFailure, PushAnswer> answer = sendOnce(peer, first);
        if (answer.isLeft() || !(answer.get() instanceof PushAnswer.Behind behind)) {
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

    private Either<PeerFailure, PushAnswer> sendOnce(Peer peer, ConfigurationUpdate update) {
        pushes.increment();
        Either<PeerFailure, PushAnswer> answer = peers.push(peer.address(), update);
        answer.peekLeft(_ -> failedPushes.increment());
        if (answer.isRight() && answer.get() instanceof PushAnswer.AlreadyHeld already) {
            heard(peer.address(), already.held());
        }
        return answer;
    }

    private PushAnswer answerTo(ConfigurationVersion offered) {
        ConfigurationSnapshot held = holder.held();
        return offered.isAfter(held.version())
                ? new PushAnswer.Behind(held.version(), held.digest())
                : new PushAnswer.AlreadyHeld(held.version());
    }

    private PushAnswer answer(Adoption adoption) {
        ConfigurationSnapshot held = holder.held();
        return switch (adoption) {
            case Adoption.Adopted adopted -> new PushAnswer.Adopted(adopted.to());
            case Adoption.AlreadyHeld _, Adoption.Older _ -> new PushAnswer.AlreadyHeld(held.version());
            case Adoption.OtherBase _ -> new PushAnswer.Behind(held.version(), held.digest());
            case Adoption.Rejected rejected -> answerTo(rejected, held);
        };
    }

    private static PushAnswer answerTo(Adoption.Rejected rejected, ConfigurationSnapshot held) {
        return switch (rejected.rejection()) {
            case Adoption.Rejection.DeltaMismatch _ -> new PushAnswer.Behind(held.version(), held.digest());
            case Adoption.Rejection.NotIntact _, Adoption.Rejection.Invalid _, Adoption.Rejection.OtherContent _ ->
                new PushAnswer.Rejected(held.version());
        };
    }
}
