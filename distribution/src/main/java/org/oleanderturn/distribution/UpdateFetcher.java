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
final class UpdateFetcher {
    private static final int FETCHERS_PER_REGION = 2;
    private static final long SELECTION_INTERVAL_MILLISECONDS = 500;
    private static final long REJECTION_BACKOFF_MILLISECONDS = 30_000;
    private static final Digest UNKNOWN_DIGEST = Digest.of("");

    private final ConfigurationHolder holder;
    private final ConfigurationTransport transport;
    private final PeerSelector selector;
    private final RelayRole role;
    private final AtomicReference<Optional<Advertisement>> newestAdvertisement =
            new AtomicReference<>(Optional.empty());
    private final AtomicReference<ConfigurationVersion> newestFromOtherRegion =
            new AtomicReference<>(ConfigurationVersion.none());
    private final AtomicReference<ConfigurationVersion> newestVersion =
            new AtomicReference<>(ConfigurationVersion.none());
    private final AtomicBoolean isFetching = new AtomicBoolean();
    private volatile long notBeforeMilliseconds = Long.MIN_VALUE;
    private volatile long nextSelectionMilliseconds = Long.MIN_VALUE;
    private volatile RejectionBackoff rejectionBackoff =
            new RejectionBackoff(ConfigurationVersion.none(), Long.MIN_VALUE);

    private UpdateFetcher(
            ConfigurationHolder holder, ConfigurationTransport peers, PeerSelector choice, RelayRole role) {
        this.holder = holder;
        this.transport = peers;
        this.selector = choice;
        this.role = role;
    }

    static UpdateFetcher of(
            ConfigurationHolder holder, ConfigurationTransport peers, PeerSelector choice, RelayRole role) {
        Objects.requireNonNull(peers, "peers is null");
        Objects.requireNonNull(role, "role is null");
        return new UpdateFetcher(holder, peers, choice, role);
    }

    // -- queries

    boolean isDue() {
        return newestAdvertisement
                .get()
                .filter(heard -> heard.version().isAfter(holder.version()))
                .isPresent();
    }

    /** Returns the newest version that any peer ever mentioned. */
    ConfigurationVersion newestAdvertised() {
        return newestVersion.get();
    }

    /** Returns whether a version reached this node from another region. */
    boolean isFromOtherRegion(ConfigurationVersion version) {
        return newestFromOtherRegion.get().equals(version);
    }

    // -- commands

    void recordAdvertisedVersion(Address peer, ConfigurationVersion version) {
        if (!version.isAfter(holder.version())) {
            return;
        }
        newestVersion.accumulateAndGet(version, ConfigurationVersion::newest);
        Advertisement news = new Advertisement(peer, version, selector.distanceTo(peer));
        newestAdvertisement.updateAndGet(
                known -> known.filter(old -> !news.isPreferredTo(old)).or(() -> Optional.of(news)));
    }

    /** Notes that a version is about to be adopted which came from the given peer. */
    void recordOrigin(Address peer, ConfigurationVersion version) {
        if (selector.distanceTo(peer) == Distance.OTHER_REGION) {
            newestFromOtherRegion.accumulateAndGet(version, ConfigurationVersion::newest);
        }
    }

    void pull(long nowMilliseconds) {
        Optional<Advertisement> news =
                newestAdvertisement.get().filter(heard -> heard.version().isAfter(holder.version()));
        if (news.isEmpty() || nowMilliseconds < notBeforeMilliseconds) {
            return;
        }
        if (rejectionBackoff.appliesTo(news.get().version(), nowMilliseconds)
                || !isSelectedToFetch(news.get(), nowMilliseconds)) {
            return;
        }
        fetch(news.get().peer(), nowMilliseconds);
    }

    /** Fetches from a peer what it has newer. */
    void fetch(Address peer, long nowMilliseconds) {
        if (!isFetching.compareAndSet(false, true)) {
            return;
        }
        try {
            Either<PeerFailure, ConfigurationUpdate> answer =
                    requestUpdate(peer, holder.held().digest());
            if (answer.isRight() && isSnapshotNeeded(applyUpdate(peer, answer.get(), nowMilliseconds))) {
                answer = requestUpdate(peer, UNKNOWN_DIGEST);
                answer.forEach(update -> applyUpdate(peer, update, nowMilliseconds));
            }
            boolean isPutOff = answer.isRight() && answer.get() instanceof ConfigurationUpdate.Busy;
            newestAdvertisement.updateAndGet(
                    known -> known.filter(heard -> isPutOff || !heard.peer().equals(peer)));
        } finally {
            isFetching.set(false);
        }
    }

    private Either<PeerFailure, ConfigurationUpdate> requestUpdate(Address peer, Digest digest) {
        ConfigurationSnapshot held = holder.held();
        return transport.fetch(peer, held.version(), digest);
    }

    private Optional<AdoptionResult> applyUpdate(Address peer, ConfigurationUpdate update, long nowMilliseconds) {
        return switch (update) {
            case ConfigurationUpdate.Current _ -> Optional.empty();
            case ConfigurationUpdate.Delta delta -> {
                recordOrigin(peer, delta.delta().to());
                yield Optional.of(recordRejection(holder.adopt(delta.delta()), nowMilliseconds));
            }
            case ConfigurationUpdate.Snapshot snapshot -> {
                recordOrigin(peer, snapshot.snapshot().version());
                yield Optional.of(recordRejection(holder.adopt(snapshot.snapshot()), nowMilliseconds));
            }
            case ConfigurationUpdate.Busy busy -> {
                long wait = Math.max(1, busy.retryAfterMilliseconds());
                notBeforeMilliseconds = nowMilliseconds + wait + selector.jittered(wait);
                yield Optional.empty();
            }
        };
    }

    private AdoptionResult recordRejection(AdoptionResult adoption, long nowMilliseconds) {
        if (adoption instanceof AdoptionResult.Rejected kept) {
            rejectionBackoff = new RejectionBackoff(
                    kept.offered(), nowMilliseconds + selector.jittered(REJECTION_BACKOFF_MILLISECONDS));
        }
        return adoption;
    }

    private static boolean isSnapshotNeeded(Optional<AdoptionResult> adoption) {
        if (adoption.isEmpty()) {
            return false;
        }
        return switch (adoption.get()) {
            case AdoptionResult.OtherBase _ -> true;
            case AdoptionResult.Rejected rejected ->
                rejected.rejection() instanceof AdoptionResult.Rejection.DeltaMismatch;
            case AdoptionResult.Adopted _, AdoptionResult.AlreadyHeld _, AdoptionResult.Older _ -> false;
        };
    }

    private boolean isSelectedToFetch(Advertisement news, long nowMilliseconds) {
        if (news.distance() != Distance.OTHER_REGION || role.isRelay(nowMilliseconds)) {
            return true;
        }
        if (nowMilliseconds < nextSelectionMilliseconds) {
            return false;
        }
        nextSelectionMilliseconds = nowMilliseconds + SELECTION_INTERVAL_MILLISECONDS;
        return selector.isSelectedInRegion(FETCHERS_PER_REGION);
    }

    private record RejectionBackoff(ConfigurationVersion version, long untilMilliseconds) {
        boolean appliesTo(ConfigurationVersion heard, long nowMilliseconds) {
            return nowMilliseconds < untilMilliseconds && !heard.isAfter(version);
        }
    }

    private record Advertisement(Address peer, ConfigurationVersion version, Distance distance) {
        boolean isPreferredTo(Advertisement other) {
            if (!version.equals(other.version)) {
                return version.isAfter(other.version);
            }
            return distance.compareTo(other.distance) < 0;
        }
    }
}
