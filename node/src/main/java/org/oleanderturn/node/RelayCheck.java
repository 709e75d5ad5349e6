package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.oleanderturn.distribution.Disseminator;
import org.oleanderturn.distribution.Peer;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.node.OperatorConfigurationWatcher.Confirmation;
import org.oleanderturn.store.StoredValue;

/**
 * Finds out whether a relay of this node's zone supplies it with configurations, and asks it which version is the newest.
 *
 * <p>Invariant: a node counts as supplied only while it knows that the version it holds was the newest in the platform's
 * store less than {@link #SUPPLY_VALIDITY} ago, by the word of a node that read it there itself, or while such a node said
 * less than {@link #READER_VALIDITY} ago that it reads, which it does only for about a second after a response of the store.
 * So a version that the node has not heard of is at most 1.6 seconds old when the node begins to read the store itself,
 * whichever other nodes have ended, are cut off from the store, or have stopped reading it. Which nodes are asked, and in
 * which order, only saves calls. A configuration of over {@link #LARGE_CONFIGURATION_ROUTES} routes is the exception: it
 * could not be in force in time if all nodes of a zone read it over the same links, so there the further ones wait longer.
 *
 * <p>{@link #runOnce} must be called by one thread at a time; everything else is thread safe.
 */
final class RelayCheck {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /**
     * How long a confirmed version is trusted. A version has to be in force after two seconds, of which this leaves 0.65 s to
     * read and adopt it; a relay confirms its version every 0.9 s, and is asked every 0.25 to 0.35 s.
     */
    static final Duration SUPPLY_VALIDITY = Duration.ofMillis(1_350);

    /**
     * How long the word of a node that it reads the store is trusted. It bridges the time in which that node receives and
     * adopts a large version, when its core may have no time to answer, and when all others would otherwise read the version
     * over the same links. Together with the time for which a node counts as reading it is shorter than two seconds.
     */
    static final Duration READER_VALIDITY = Duration.ofMillis(800);

    /**
     * The values of a configuration with more routes would take most of the time that is left if a zone of forty nodes read
     * them at once, at some 330 bytes a route over 30 Mbit/s between two regions.
     */
    private static final int LARGE_CONFIGURATION_ROUTES = 100;

    /** How many nodes of a zone beside its relay read a large configuration as soon as a small one. */
    private static final int READERS_OF_LARGE_CONFIGURATION = 2;

    /** How much later each further node does; a node that has read it passes on what has changed, a fraction of the bytes. */
    private static final Duration PATIENCE_PER_RANK = Duration.ofMillis(500);

    private static final int HIGHEST_RANK = 3;

    /** Limits the checks of a small zone; a confirmation and this are shorter than {@link #SUPPLY_VALIDITY}. */
    private static final long SHORTEST_INTERVAL_MILLISECONDS = 250;

    private static final long LONGEST_INTERVAL_MILLISECONDS = 350;

    /** Limits a relay to 100 checks per second while the longest interval allows it. */
    private static final long INTERVAL_MILLISECONDS_PER_NODE = 10;

    /** How many nodes are asked in one run; each takes up to the timeout of a call. */
    private static final int CANDIDATES_PER_RUN = 2;

    /** How long other nodes are asked in place of one that did not answer; membership notices its loss by then. */
    private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(1_500);

    /** How long other nodes are asked in place of one that does not read the store. */
    private static final Duration PAUSE_WITHOUT_READING = Duration.ofMillis(500);

    /** No time of the clock. */
    private static final long NEVER = Long.MIN_VALUE;

    private final ZoneLeadership leadership;
    private final RelayTransport transport;
    private final Disseminator disseminator;
    private final BooleanSupplier hasReadStore;
    private final IntSupplier heldRoutes;
    private final LongSupplier clockNanoseconds;
    private final AtomicLong suppliedNanoseconds = new AtomicLong(NEVER);
    private volatile Optional<Reader> reader = Optional.empty();
    private final AtomicReference<Optional<Confirmation>> confirmation = new AtomicReference<>(Optional.empty());
    private volatile Optional<Peer> supplier = Optional.empty();

    /** How many reachable nodes of the zone would be its relay before this one. */
    private volatile int rank;

    /** When each node that did not supply this one may be asked again; used by {@link #runOnce} only. */
    private final Map<NodeId, Long> notBefore = new HashMap<>();

    /** A node that said at the given time that it reads the store. */
    private record Reader(Peer peer, long nanoseconds) {}

    /** What a candidate is worth as a supplier. */
    private enum Usefulness {
        /** It reads the store. */
        READS,
        ANSWERS,
        FAILS
    }

    /**
     * Creates a check.
     *
     * @param hasReadStore returns whether this node has read a version from the store itself
     * @param heldRoutes returns the number of routes of the version held
     */
    RelayCheck(
            ZoneLeadership leadership,
            RelayTransport transport,
            Disseminator disseminator,
            BooleanSupplier hasReadStore,
            IntSupplier heldRoutes,
            LongSupplier clockNanoseconds) {
        this.leadership = Objects.requireNonNull(leadership, "leadership is null");
        this.transport = Objects.requireNonNull(transport, "transport is null");
        this.disseminator = Objects.requireNonNull(disseminator, "disseminator is null");
        this.heldRoutes = Objects.requireNonNull(heldRoutes, "heldRoutes is null");
        this.hasReadStore = Objects.requireNonNull(hasReadStore, "hasReadStore is null");
        this.clockNanoseconds = Objects.requireNonNull(clockNanoseconds, "clockNanoseconds is null");
    }

    // -- queries

    /** Returns whether this node may leave reading the store to another node of its zone. */
    boolean isSupplied() {
        long supplied = suppliedNanoseconds.get();
        Duration validity = SUPPLY_VALIDITY.plus(patience());
        boolean isConfirmed =
                supplied == NEVER ? isNew() : clockNanoseconds.getAsLong() - supplied < validity.toNanos();
        return (isConfirmed || trustedReader().isPresent()) && !disseminator.isOfferUndecodable();
    }

    private Duration patience() {
        int furtherRank = Math.clamp(rank - READERS_OF_LARGE_CONFIGURATION, 0, HIGHEST_RANK);
        return heldRoutes.getAsInt() > LARGE_CONFIGURATION_ROUTES
                ? PATIENCE_PER_RANK.multipliedBy(furtherRank)
                : Duration.ZERO;
    }

    private Optional<Peer> trustedReader() {
        long now = clockNanoseconds.getAsLong();
        return reader.filter(known -> now - known.nanoseconds() < READER_VALIDITY.toNanos())
                .map(Reader::peer);
    }

    /** Returns whether this node has just started, so that no relay can have supplied it and it was none itself. */
    private boolean isNew() {
        return !hasReadStore.getAsBoolean();
    }

    /** Returns the node that supplied this one at the last check. */
    Optional<Peer> supplier() {
        return supplier;
    }

    /** Returns the last version that another node knew to have been the newest, and when; empty before the first. */
    Optional<Confirmation> confirmation() {
        return confirmation.get();
    }

    // -- commands

    /** Checks the relay; blocks until it has answered, and returns the delay before the next check, in milliseconds. */
    long runOnce() {
        List<Peer> earlier = leadership.earlierNodes();
        rank = earlier.size();
        if (!earlier.isEmpty() && isNew()) {
            // Otherwise all nodes of a fleet that starts would read the store at once.
            suppliedNanoseconds.compareAndSet(NEVER, clockNanoseconds.getAsLong());
        }
        Optional<Peer> before = supplier;
        supplier = findSupplier(earlier);
        if (!supplier.map(Peer::nodeId).equals(before.map(Peer::nodeId))) {
            log.atInfo().log(
                    "supplied with configurations by: %s",
                    supplier.map(peer -> peer.nodeId().toString()).orElse("none"));
        }
        return Math.clamp(
                INTERVAL_MILLISECONDS_PER_NODE * leadership.zoneSize(),
                SHORTEST_INTERVAL_MILLISECONDS,
                LONGEST_INTERVAL_MILLISECONDS);
    }

    /**
     * Asks a relay to confirm its version, which it may have to ask the store for; blocks until it has answered, and returns
     * whether it did confirm a version.
     */
    boolean confirm(Peer relay) {
        return ask(relay, true)
                .exists(report -> report.confirmationAgeMilliseconds().isPresent());
    }

    /** Returns the first node that says that it reads, or the last one that did so as long as its word is trusted. */
    private Optional<Peer> findSupplier(List<Peer> earlier) {
        notBefore.values().removeIf(end -> clockNanoseconds.getAsLong() - end >= 0);
        int asked = 0;
        for (Peer candidate : earlier) {
            if (notBefore.containsKey(candidate.nodeId())) {
                continue;
            }
            if (asked == CANDIDATES_PER_RUN) {
                break;
            }
            asked++;
            long sent = clockNanoseconds.getAsLong();
            Usefulness usefulness = usefulness(ask(candidate, false));
            if (usefulness == Usefulness.READS) {
                reader = Optional.of(new Reader(candidate, sent));
                return Optional.of(candidate);
            }
            boolean isReader = trustedReader()
                    .map(Peer::nodeId)
                    .filter(candidate.nodeId()::equals)
                    .isPresent();
            if (isReader && usefulness == Usefulness.FAILS) {
                continue;
            }
            if (isReader) {
                reader = Optional.empty();
            }
            Duration pause = usefulness == Usefulness.FAILS ? PAUSE_AFTER_FAILURE : PAUSE_WITHOUT_READING;
            notBefore.put(candidate.nodeId(), clockNanoseconds.getAsLong() + pause.toNanos());
        }
        return trustedReader();
    }

    private static Usefulness usefulness(Either<ControlFailure, RelayReport> answer) {
        if (answer.isLeft()) {
            return Usefulness.FAILS;
        }
        return answer.get().isReading() ? Usefulness.READS : Usefulness.ANSWERS;
    }

    private Either<ControlFailure, RelayReport> ask(Peer relay, boolean isConfirmationNeeded) {
        long asked = clockNanoseconds.getAsLong();
        return transport.askRelay(relay.address(), isConfirmationNeeded).peek(report -> {
            disseminator.recordAdvertisedVersion(relay.address(), report.held());
            // Dated back to the question, as the answer may have taken long on its way.
            report.confirmationAgeMilliseconds()
                    .map(TimeUnit.MILLISECONDS::toNanos)
                    .ifPresent(age -> record(new Confirmation(report.held(), StoredValue.ABSENT, asked - age)));
        });
    }

    private void record(Confirmation confirmed) {
        confirmation.updateAndGet(before -> before.filter(known -> known.nanoseconds() - confirmed.nanoseconds() > 0)
                .or(() -> Optional.of(confirmed)));
        if (!confirmed.version().isAfter(disseminator.heldVersion())) {
            suppliedNanoseconds.accumulateAndGet(
                    confirmed.nanoseconds(), (before, now) -> before == NEVER || now - before > 0 ? now : before);
        }
    }
}
