package org.oleanderturn.distribution;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.Locality.Distance;

/**
 * Fetches newer versions that peers have advertised to this node.
 *
 * <p>Invariants: there is one fetch at a time, and a second one while the first takes long; a version advertised from
 * another region is fetched by about {@link #FETCHERS_PER_REGION} nodes of this region in each interval, however many nodes
 * it has, and by relays without that limit; after a rejection, advertisements of that version or an older one are ignored
 * for a while. Thread safe.
 */
final class UpdateFetcher {
    private static final int FETCHERS_PER_REGION = 2;
    private static final long SELECTION_INTERVAL_MILLISECONDS = 500;
    private static final long REJECTION_BACKOFF_MILLISECONDS = 30_000;

    /** After this time another peer is tried beside one that has not answered yet. */
    private static final long SLOW_FETCH_MILLISECONDS = 700;

    private static final int MAXIMUM_FETCHES = 2;
    /** Equals no digest, so that the peer sends the full snapshot. */
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
    private final AtomicReference<ConfigurationVersion> undecodable =
            new AtomicReference<>(ConfigurationVersion.none());
    private final Set<Address> fetchingFrom = new HashSet<>();
    private long lastFetchMilliseconds;
    private volatile long notBeforeMilliseconds = Long.MIN_VALUE;
    private volatile long nextSelectionMilliseconds = Long.MIN_VALUE;
    private volatile RejectionBackoff rejectionBackoff =
            new RejectionBackoff(ConfigurationVersion.none(), Long.MIN_VALUE);

    private UpdateFetcher(
            ConfigurationHolder holder, ConfigurationTransport transport, PeerSelector selector, RelayRole role) {
        this.holder = holder;
        this.transport = transport;
        this.selector = selector;
        this.role = role;
    }

    static UpdateFetcher of(
            ConfigurationHolder holder, ConfigurationTransport transport, PeerSelector selector, RelayRole role) {
        Objects.requireNonNull(transport, "transport is null");
        Objects.requireNonNull(role, "role is null");
        return new UpdateFetcher(holder, transport, selector, role);
    }

    // -- queries

    boolean isDue() {
        return newestAdvertisement
                .get()
                .filter(advertised -> advertised.version().isAfter(holder.version()))
                .isPresent();
    }

    /** Returns the newest version that any peer has advertised. */
    ConfigurationVersion newestAdvertised() {
        return newestVersion.get();
    }

    /** Returns whether a peer sent something that could not be decoded when this node last asked for a newer version. */
    boolean isUndecodable() {
        return undecodable.get().isAfter(holder.version());
    }

    /** Returns whether the given version is the newest that a peer of another region sent to this node. */
    boolean isFromOtherRegion(ConfigurationVersion version) {
        return newestFromOtherRegion.get().equals(version);
    }

    // -- commands

    void recordAdvertisedVersion(Address peer, ConfigurationVersion version) {
        if (!version.isAfter(holder.version())) {
            return;
        }
        holder.record(new VersionEvent.Heard(new VersionOrigin.Advertisement(peer), version));
        newestVersion.accumulateAndGet(version, ConfigurationVersion::newest);
        Advertisement advertisement = new Advertisement(peer, version, selector.distanceTo(peer));
        newestAdvertisement.updateAndGet(current -> current.filter(previous -> !advertisement.isPreferredTo(previous))
                .or(() -> Optional.of(advertisement)));
    }

    /** Records a version that is about to be adopted, if the peer that sent it is in another region. */
    void recordOrigin(Address peer, ConfigurationVersion version) {
        if (selector.distanceTo(peer) == Distance.OTHER_REGION) {
            newestFromOtherRegion.accumulateAndGet(version, ConfigurationVersion::newest);
        }
    }

    /** Returns the peer to fetch the newest advertised version from; empty if nothing is due. */
    Optional<Address> selectPeer(long nowMilliseconds) {
        Optional<Advertisement> advertisement = newestAdvertisement
                .get()
                .filter(advertised -> advertised.version().isAfter(holder.version()));
        if (advertisement.isEmpty() || nowMilliseconds < notBeforeMilliseconds || !mayFetch(nowMilliseconds)) {
            return Optional.empty();
        }
        if (rejectionBackoff.appliesTo(advertisement.get().version(), nowMilliseconds)
                || !isSelectedToFetch(advertisement.get(), nowMilliseconds)) {
            return Optional.empty();
        }
        return Optional.of(advertisement.get().peer());
    }

    private synchronized boolean mayFetch(long nowMilliseconds) {
        return fetchingFrom.isEmpty()
                || (fetchingFrom.size() < MAXIMUM_FETCHES
                        && nowMilliseconds - lastFetchMilliseconds >= SLOW_FETCH_MILLISECONDS);
    }

    private synchronized boolean beginFetch(Address peer, long nowMilliseconds) {
        if (!mayFetch(nowMilliseconds) || !fetchingFrom.add(peer)) {
            return false;
        }
        lastFetchMilliseconds = nowMilliseconds;
        return true;
    }

    private synchronized void endFetch(Address peer) {
        fetchingFrom.remove(peer);
    }

    /** Fetches a newer version from a peer, unless another fetch is running that does not take long yet. */
    void fetch(Address peer, long nowMilliseconds) {
        if (!beginFetch(peer, nowMilliseconds)) {
            return;
        }
        try {
            Either<PeerFailure, ConfigurationUpdate> response =
                    requestUpdate(peer, holder.held().digest());
            if (response.isRight() && isSnapshotNeeded(applyUpdate(peer, response.get(), nowMilliseconds))) {
                response = requestUpdate(peer, UNKNOWN_DIGEST);
                response.forEach(update -> applyUpdate(peer, update, nowMilliseconds));
            }
            response.peekLeft(this::recordFailure);
            boolean isDeferred = response.isRight() && response.get() instanceof ConfigurationUpdate.Busy;
            newestAdvertisement.updateAndGet(current -> current.filter(
                    advertised -> isDeferred || !advertised.peer().equals(peer)));
        } finally {
            endFetch(peer);
        }
    }

    private void recordFailure(PeerFailure failure) {
        if (failure instanceof PeerFailure.Malformed) {
            undecodable.accumulateAndGet(newestVersion.get(), ConfigurationVersion::newest);
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
                yield Optional.of(
                        recordRejection(holder.adopt(delta.delta(), new VersionOrigin.Fetch(peer)), nowMilliseconds));
            }
            case ConfigurationUpdate.Snapshot snapshot -> {
                recordOrigin(peer, snapshot.snapshot().version());
                yield Optional.of(recordRejection(
                        holder.adopt(snapshot.snapshot(), new VersionOrigin.Fetch(peer)), nowMilliseconds));
            }
            case ConfigurationUpdate.Busy busy -> {
                long delay = Math.max(1, busy.retryAfterMilliseconds());
                notBeforeMilliseconds = nowMilliseconds + delay + selector.jittered(delay);
                yield Optional.empty();
            }
        };
    }

    private AdoptionResult recordRejection(AdoptionResult result, long nowMilliseconds) {
        if (result instanceof AdoptionResult.Rejected rejected) {
            rejectionBackoff = new RejectionBackoff(
                    rejected.offered(), nowMilliseconds + selector.jittered(REJECTION_BACKOFF_MILLISECONDS));
        }
        return result;
    }

    private static boolean isSnapshotNeeded(Optional<AdoptionResult> result) {
        if (result.isEmpty()) {
            return false;
        }
        return switch (result.get()) {
            case AdoptionResult.OtherBase _ -> true;
            case AdoptionResult.Rejected rejected ->
                rejected.rejection() instanceof AdoptionResult.Rejection.DeltaMismatch;
            case AdoptionResult.Adopted _, AdoptionResult.AlreadyHeld _, AdoptionResult.Older _ -> false;
        };
    }

    private boolean isSelectedToFetch(Advertisement advertisement, long nowMilliseconds) {
        if (advertisement.distance() != Distance.OTHER_REGION || role.isRelay(nowMilliseconds)) {
            return true;
        }
        if (nowMilliseconds < nextSelectionMilliseconds) {
            return false;
        }
        nextSelectionMilliseconds = nowMilliseconds + SELECTION_INTERVAL_MILLISECONDS;
        return selector.isSelectedInRegion(FETCHERS_PER_REGION);
    }

    private record RejectionBackoff(ConfigurationVersion version, long untilMilliseconds) {
        boolean appliesTo(ConfigurationVersion advertised, long nowMilliseconds) {
            return nowMilliseconds < untilMilliseconds && !advertised.isAfter(version);
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
