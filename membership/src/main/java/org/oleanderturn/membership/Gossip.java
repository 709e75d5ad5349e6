package org.oleanderturn.membership;

import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.model.Locality.Distance;

/**
 * One node's part in the membership protocol: SWIM's probes, suspicion and refutation, with comparison of whole tables.
 *
 * <p>It holds no thread and no socket: the owner calls {@link #tick} a few times a second and {@link #receive} for each
 * message that arrives. Invariants: those of {@link MemberTable}; a drain is final within an incarnation. Thread safe,
 * but {@link #tick} and {@link #join} are for one thread at a time.
 */
public final class Gossip {
    /** The longest gap between two ticks after which this node does not trust its own clock against a suspect's. */
    private static final long STALL_THRESHOLD_MILLISECONDS = 5_000;

    private final GossipContext context;
    private final Prober prober;
    private final Synchronizer synchronizer;
    private final Announcer announcer;
    private long lastTickMilliseconds;

    private Gossip(GossipContext membership, RandomGenerator random) {
        this.context = membership;
        this.prober = new Prober(membership, random);
        this.synchronizer = new Synchronizer(membership, random);
        this.announcer = new Announcer(membership, new SplittableRandom(random.nextLong()));
        this.lastTickMilliseconds = membership.now();
    }

    /**
     * Returns the protocol of a node that knows only itself.
     *
     * @param local the node's own record; its incarnation should be the wall clock's milliseconds at the start, so that
     *     it is above that of any earlier process under the same name. Where it is not, peers say so and it is raised.
     * @param clockMilliseconds a clock that never goes back
     */
    public static Gossip of(
            MemberRecord local,
            GossipSettings settings,
            GossipTransport peers,
            LongSupplier clockMilliseconds,
            RandomGenerator random,
            MembershipListener listener) {
        Objects.requireNonNull(local, "local is null");
        Objects.requireNonNull(clockMilliseconds, "clockMilliseconds is null");
        MemberTable table = MemberTable.of(local, clockMilliseconds.getAsLong());
        return of(table, settings, peers, clockMilliseconds, random, listener);
    }

    /** Returns the protocol of a node that starts with a table. */
    static Gossip of(
            MemberTable table,
            GossipSettings settings,
            GossipTransport peers,
            LongSupplier clockMilliseconds,
            RandomGenerator random,
            MembershipListener listener) {
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(peers, "peers is null");
        Objects.requireNonNull(random, "random is null");
        Objects.requireNonNull(listener, "listener is null");
        return new Gossip(new GossipContext(table, settings, peers, clockMilliseconds, listener), random);
    }

    // -- queries

    /** Returns the members as this node knows them now. */
    public MemberTable table() {
        return context.table();
    }

    // -- the protocol

    /** Does what is due: probes, comparisons, the end of suspicions and tombstones. Calls peers and waits for them. */
    public void tick() {
        expireMembers();
        prober.tick();
        synchronizer.tick();
    }

    private void expireMembers() {
        long now = context.now();
        boolean isResumed = now - lastTickMilliseconds >= STALL_THRESHOLD_MILLISECONDS;
        lastTickMilliseconds = now;
        if (isResumed) {
            context.update(table -> table.restartSuspicions(now));
        }
        int members = context.table().reachablePeers().size() + 1;
        long timeout = context.settings().suspicionTimeoutMilliseconds(members);
        context.update(table -> table.expireSuspicions(timeout, now).pruneAndReevaluateIsolation(now));
    }

    /** Takes in a message and returns the answer. May call a peer on the sender's behalf. */
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
            case GossipMessage.PingRequest request -> acknowledge(request, isReached(request));
            case GossipMessage.SyncRequest request -> synchronizer.answer(request);
            case GossipMessage.BucketRequest request -> synchronizer.answer(request);
            case GossipMessage.Announce announce -> acknowledge(announce, true);
            case GossipMessage.Ping ping -> acknowledge(ping, true);
            case GossipMessage.Acknowledge late -> acknowledge(late, true);
            case GossipMessage.SyncAnswer late -> acknowledge(late, true);
            case GossipMessage.BucketAnswer late -> acknowledge(late, true);
        };
    }

    private GossipMessage acknowledge(GossipMessage message, boolean isReached) {
        GossipHeader header = context.answerHeader(message.header().sender());
        return new GossipMessage.Acknowledge(header, isReached);
    }

    private boolean isReached(GossipMessage.PingRequest request) {
        GossipMessage ping = new GossipMessage.Ping(context.headerFor(request.target(), Distance.SAME_REGION));
        return Prober.isAnsweredBy(
                request.target(), context.send(request.controlAddress(), Distance.SAME_REGION, ping));
    }

    /**
     * Fetches the table from the first few of the given members that answer.
     *
     * @return how many answered
     */
    public int join(List<Address> controlAddresses) {
        Objects.requireNonNull(controlAddresses, "controlAddresses is null");
        return synchronizer.join(controlAddresses);
    }

    // -- the local member

    /** Sets the local state and pushes it to all reachable members; a step back takes a new incarnation. */
    public void announceState(EndpointState state) {
        Objects.requireNonNull(state, "state is null");
        long now = context.now();
        boolean isChanged = context.update(table -> {
            boolean isFinal = table.local().liveness() == Liveness.LEFT;
            boolean isSame = table.local().endpoint().state() == state;
            return isFinal || isSame ? table : table.withLocalState(state, now);
        });
        if (isChanged) {
            announcer.announceLocal();
        }
    }

    /** Takes the local target out of new work, from now on. */
    public void drain() {
        announceState(EndpointState.DRAINING);
    }

    /** Ends a drain, under a new incarnation. */
    public void undrain() {
        announceState(EndpointState.READY);
    }

    /** Leaves for good. */
    public void leave() {
        long now = context.now();
        boolean isChanged =
                context.update(table -> table.local().liveness() == Liveness.LEFT ? table : table.withLocalLeft(now));
        if (isChanged) {
            announcer.announceLocal();
        }
    }

    /** Records the version that this node holds; a lower one than before changes nothing. */
    public void advanceHeldVersion(ConfigurationVersion version) {
        Objects.requireNonNull(version, "version is null");
        context.update(table -> table.withLocalVersion(version, context.now()));
    }
}
