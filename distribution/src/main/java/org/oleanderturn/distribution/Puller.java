package org.oleanderturn.distribution;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.Locality.Distance;

/**
 * Fetches from peers what this node has heard to be newer.
 *
 * <p>Invariants: one fetch at a time; a version heard from another region is fetched by about two nodes of this region
 * in each interval, whatever its size, unless this node is a relay; a version that was rejected is not fetched on hearsay
 * for a while. Thread safe.
 */
final class Puller {
    private static final int DRAWS_ACROSS_REGIONS = 2;
    private static final long DRAW_MILLISECONDS = 500;
    private static final long REJECTION_MILLISECONDS = 30_000;
    private static final Digest UNKNOWN = Digest.of("");

    private final ConfigurationHolder holder;
    private final ConfigurationPeers peers;
    private final PeerChoice choice;
    private final RelayRole role;
    private final AtomicReference<Optional<Hearing>> hearing = new AtomicReference<>(Optional.empty());
    private final AtomicReference<ConfigurationVersion> fromAfar = new AtomicReference<>(ConfigurationVersion.none());
    private final AtomicReference<ConfigurationVersion> newest = new AtomicReference<>(ConfigurationVersion.none());
    private final AtomicBoolean isPulling = new AtomicBoolean();
    private volatile long notBeforeMilliseconds = Long.MIN_VALUE;
    private volatile long nextDrawMilliseconds = Long.MIN_VALUE;
    private volatile Rejected rejected = new Rejected(ConfigurationVersion.none(), Long.MIN_VALUE);

    private Puller(ConfigurationHolder holder, ConfigurationPeers peers, PeerChoice choice, RelayRole role) {
        this.holder = holder;
        this.peers = peers;
        this.choice = choice;
        this.role = role;
    }

    static Puller of(ConfigurationHolder holder, ConfigurationPeers peers, PeerChoice choice, RelayRole role) {
        Objects.requireNonNull(peers, "peers is null");
        Objects.requireNonNull(role, "role is null");
        return new Puller(holder, peers, choice, role);
    }

    // -- queries

    boolean isDue() {
        return hearing.get()
                .filter(heard -> heard.version().isAfter(holder.version()))
                .isPresent();
    }

    /** Returns the newest version that any peer ever mentioned. */
    ConfigurationVersion newestHeard() {
        return newest.get();
    }

    /** Returns whether a version reached this node from another region. */
    boolean isFromAfar(ConfigurationVersion version) {
        return fromAfar.get().equals(version);
    }

    // -- commands

    void heard(Address peer, ConfigurationVersion version) {
        if (!version.isAfter(holder.version())) {
            return;
        }
        newest.accumulateAndGet(version, ConfigurationVersion::newest);
        Hearing news = new Hearing(peer, version, choice.distanceTo(peer));
        hearing.updateAndGet(
                known -> known.filter(old -> !news.isBetterThan(old)).or(() -> Optional.of(news)));
    }

    /** Notes that a version is about to be adopted which came from the given peer. */
    void arriving(Address peer, ConfigurationVersion version) {
        if (choice.distanceTo(peer) == Distance.OTHER_REGION) {
            fromAfar.accumulateAndGet(version, ConfigurationVersion::newest);
        }
    }

    void pull(long nowMilliseconds) {
        Optional<Hearing> news = hearing.get().filter(heard -> heard.version().isAfter(holder.version()));
        if (news.isEmpty() || nowMilliseconds < notBeforeMilliseconds) {
            return;
        }
        if (rejected.covers(news.get().version(), nowMilliseconds) || !isDrawn(news.get(), nowMilliseconds)) {
            return;
        }
        fetch(news.get().peer(), nowMilliseconds);
    }

    /** Fetches from a peer what it has newer. */
    void fetch(Address peer, long nowMilliseconds) {
        if (!isPulling.compareAndSet(false, true)) {
            return;
        }
        try {
            Either<PeerFailure, ConfigurationUpdate> answer =
                    ask(peer, holder.held().digest());
            if (answer.isRight() && isUnfit(take(peer, answer.get(), nowMilliseconds))) {
                answer = ask(peer, UNKNOWN);
                answer.forEach(update -> take(peer, update, nowMilliseconds));
            }
            boolean isPutOff = answer.isRight() && answer.get() instanceof ConfigurationUpdate.Busy;
            hearing.updateAndGet(
                    known -> known.filter(heard -> isPutOff || !heard.peer().equals(peer)));
        } finally {
            isPulling.set(false);
        }
    }

    private Either<PeerFailure, ConfigurationUpdate> ask(Address peer, Digest digest) {
        ConfigurationSnapshot held = holder.held();
        return peers.fetch(peer, held.version(), digest);
    }

    private Optional<Adoption> take(Address peer, ConfigurationUpdate update, long nowMilliseconds) {
        return switch (update) {
            case ConfigurationUpdate.Current _ -> Optional.empty();
            case ConfigurationUpdate.Delta delta -> {
                arriving(peer, delta.delta().to());
                yield Optional.of(noted(holder.adopt(delta.delta()), nowMilliseconds));
            }
            case ConfigurationUpdate.Snapshot snapshot -> {
                arriving(peer, snapshot.snapshot().version());
                yield Optional.of(noted(holder.adopt(snapshot.snapshot()), nowMilliseconds));
            }
            case ConfigurationUpdate.Busy busy -> {
                long wait = Math.max(1, busy.retryAfterMilliseconds());
                notBeforeMilliseconds = nowMilliseconds + wait + choice.jittered(wait);
                yield Optional.empty();
            }
        };
    }

    private Adoption noted(Adoption adoption, long nowMilliseconds) {
        if (adoption instanceof Adoption.Rejected kept) {
            rejected = new Rejected(kept.offered(), nowMilliseconds + choice.jittered(REJECTION_MILLISECONDS));
        }
        return adoption;
    }

    private static boolean isUnfit(Optional<Adoption> adoption) {
        if (adoption.isEmpty()) {
            return false;
        }
        return switch (adoption.get()) {
            case Adoption.OtherBase _ -> true;
            case Adoption.Rejected rejected -> rejected.rejection() instanceof Adoption.Rejection.DeltaMismatch;
            case Adoption.Adopted _, Adoption.AlreadyHeld _, Adoption.Older _ -> false;
        };
    }

    private boolean isDrawn(Hearing news, long nowMilliseconds) {
        if (news.distance() != Distance.OTHER_REGION || role.isRelay(nowMilliseconds)) {
            return true;
        }
        if (nowMilliseconds < nextDrawMilliseconds) {
            return false;
        }
        nextDrawMilliseconds = nowMilliseconds + DRAW_MILLISECONDS;
        return choice.isDrawnInRegion(DRAWS_ACROSS_REGIONS);
    }

    private record Rejected(ConfigurationVersion version, long untilMilliseconds) {
        boolean covers(ConfigurationVersion heard, long nowMilliseconds) {
            return nowMilliseconds < untilMilliseconds && !heard.isAfter(version);
        }
    }

    private record Hearing(Address peer, ConfigurationVersion version, Distance distance) {
        boolean isBetterThan(Hearing other) {
            if (!version.equals(other.version)) {
                return version.isAfter(other.version);
            }
            return distance.compareTo(other.distance) < 0;
        }
    }
}
