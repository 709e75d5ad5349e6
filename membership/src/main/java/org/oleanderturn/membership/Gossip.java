package org.oleanderturn.membership;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.Locality.Distance;
import org.oleanderturn.model.SoftwareVersion;

/**
 * One node's side of the membership protocol: SWIM with probes, suspicion and refutation, plus anti-entropy
 * synchronization of whole member tables.
 *
 * <p>It owns no threads or sockets: the owner calls {@link #tick} several times a second and {@link #receive} for each
 * incoming message. Invariants: those of {@link MemberTable}; within one incarnation a drain can't be undone. Thread
 * safe, except that {@link #tick} and {@link #join} must be called by one thread at a time.
 */
public final class Gossip {
    /**
     * If two ticks are at least this far apart, this process was stalled and could not receive refutations; the
     * suspicion timeouts then start again.
     */
    private static final long STALL_THRESHOLD_MILLISECONDS = 5_000;

    private final GossipContext context;
    private final Prober prober;
    private final Synchronizer synchronizer;
    private final Announcer announcer;
    private long lastTickMilliseconds;

    private Gossip(GossipContext context, RandomGenerator random) {
        this.context = context;
        this.prober = new Prober(context, random);
        this.synchronizer = new Synchronizer(context, random);
        this.announcer = new Announcer(context, new SplittableRandom(random.nextLong()));
        this.lastTickMilliseconds = context.now();
    }

    /**
     * Returns the protocol instance of a node whose table contains only the node itself.
     *
     * @param local the node's own record; its incarnation should be the wall-clock time at startup, in milliseconds, so
     *     that it is higher than that of any earlier process with the same name. If it isn't, the peers' answers cause
     *     it to be raised.
     * @param clockMilliseconds a monotonic clock
     */
    public static Gossip of(
            MemberRecord local,
            GossipSettings settings,
            GossipTransport transport,
            LongSupplier clockMilliseconds,
            RandomGenerator random,
            MembershipListener listener) {
        Objects.requireNonNull(local, "local is null");
        Objects.requireNonNull(clockMilliseconds, "clockMilliseconds is null");
        MemberTable table = MemberTable.of(local, clockMilliseconds.getAsLong());
        return of(table, settings, transport, clockMilliseconds, random, listener);
    }

    /** Returns the protocol instance of a node that starts with the given table. */
    static Gossip of(
            MemberTable table,
            GossipSettings settings,
            GossipTransport transport,
            LongSupplier clockMilliseconds,
            RandomGenerator random,
            MembershipListener listener) {
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(transport, "transport is null");
        Objects.requireNonNull(random, "random is null");
        Objects.requireNonNull(listener, "listener is null");
        return new Gossip(new GossipContext(table, settings, transport, clockMilliseconds, listener), random);
    }

    // -- queries

    /** Returns this node's current view of the members. */
    public MemberTable table() {
        return context.table();
    }

    // -- protocol

    /**
     * Performs whatever is due: probes, synchronization, and the expiry of suspicions and tombstones. Blocks on calls
     * to peers.
     */
    public void tick() {
        expireMembers();
        prober.tick();
        synchronizer.tick();
    }

    private void expireMembers() {
        long now = context.now();
        boolean wasStalled = now - lastTickMilliseconds >= STALL_THRESHOLD_MILLISECONDS;
        lastTickMilliseconds = now;
        if (wasStalled) {
            context.update(table -> table.restartSuspicions(now));
        }
        int members = context.table().reachablePeers().size() + 1;
        long timeout = context.settings().suspicionTimeoutMilliseconds(members);
        context.update(table -> table.expireSuspicions(timeout, now).pruneAndReevaluateIsolation(now));
    }

    /** Handles a message and returns the answer. A ping request blocks on a call to another peer. */
    public GossipMessage receive(GossipMessage message) {
        Objects.requireNonNull(message, "message is null");
        GossipRecord sender = message.header().sender();
        if (message instanceof GossipMessage.Announce announce) {
            announcer.handle(announce);
        }
        context.merge(message.header());
        GossipMessage answer = answer(message);
        context.charge(answer, 1, context.distanceTo(sender));
        return answer;
    }

    private GossipMessage answer(GossipMessage message) {
        return switch (message) {
            case GossipMessage.PingRequest request -> acknowledge(request, pingTarget(request));
            case GossipMessage.SyncRequest request -> synchronizer.answer(request);
            case GossipMessage.BucketRequest request -> synchronizer.answer(request);
            case GossipMessage.Announce announce -> acknowledge(announce, true);
            case GossipMessage.Ping ping -> acknowledge(ping, true);
            case GossipMessage.Acknowledge unexpected -> acknowledge(unexpected, true);
            case GossipMessage.SyncAnswer unexpected -> acknowledge(unexpected, true);
            case GossipMessage.BucketAnswer unexpected -> acknowledge(unexpected, true);
        };
    }

    private GossipMessage acknowledge(GossipMessage message, boolean isReached) {
        GossipHeader header = context.answerHeader(message.header().sender());
        return new GossipMessage.Acknowledge(header, isReached);
    }

    private boolean pingTarget(GossipMessage.PingRequest request) {
        GossipMessage ping = new GossipMessage.Ping(context.headerFor(request.target(), Distance.SAME_REGION));
        return Prober.isAnsweredBy(
                request.target(), context.send(request.controlAddress(), Distance.SAME_REGION, ping));
    }

    /**
     * Joins the cluster by fetching the table from the first few of the given members that answer.
     *
     * @return the number of members that answered; 0 when none did
     */
    public int join(List<Address> controlAddresses) {
        Objects.requireNonNull(controlAddresses, "controlAddresses is null");
        return synchronizer.join(controlAddresses);
    }

    // -- the local member

    /**
     * Sets the state of the local endpoint and broadcasts it to all reachable members. Going back to an earlier state
     * starts a new incarnation. Has no effect if the state is the same or the node has left.
     */
    public void announceState(EndpointState state) {
        Objects.requireNonNull(state, "state is null");
        announceTarget(state, Optional.empty());
    }

    /**
     * Sets the state of the local endpoint as {@link #announceState} does, together with the version of the target's software,
     * so that no node sees a ready target under another version than its own. Another version starts a new incarnation.
     *
     * @param version empty to leave the version as it is
     */
    public void announceTarget(EndpointState state, Optional<SoftwareVersion> version) {
        long now = context.now();
        boolean isChanged = context.update(table -> {
            if (table.local().liveness() == Liveness.LEFT) {
                return table;
            }
            MemberTable changed = table;
            if (version.isPresent() && !version.equals(table.local().endpoint().version())) {
                changed = changed.withLocalSoftware(version.get(), now);
            }
            boolean isSame = changed.local().endpoint().state() == state;
            return isSame ? changed : changed.withLocalState(state, now);
        });
        if (isChanged) {
            announcer.announceLocal();
        }
    }

    /** Stops new requests to the local target, immediately. */
    public void drain() {
        announceState(EndpointState.DRAINING);
    }

    /** Ends a drain by starting a new incarnation. */
    public void undrain() {
        announceState(EndpointState.READY);
    }

    /** Announces that this node leaves; this can't be undone. */
    public void leave() {
        long now = context.now();
        boolean isChanged =
                context.update(table -> table.local().liveness() == Liveness.LEFT ? table : table.withLocalLeft(now));
        if (isChanged) {
            announcer.announceLocal();
        }
    }

    /** Records the configuration version that this node holds; a version that is not higher has no effect. */
    public void advanceHeldVersion(ConfigurationVersion version) {
        Objects.requireNonNull(version, "version is null");
        context.update(table -> table.withLocalVersion(version, context.now()));
    }
}
