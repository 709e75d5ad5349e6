package org.oleanderturn.node;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.distribution.ConfigurationHolder;
import org.oleanderturn.distribution.Disseminator;
import org.oleanderturn.distribution.HeadWatcher;
import org.oleanderturn.distribution.ProposalAcceptor;
import org.oleanderturn.distribution.ReadinessGate;
import org.oleanderturn.distribution.RelayCandidacy;
import org.oleanderturn.distribution.RelayElection;
import org.oleanderturn.distribution.RelayRegistration;
import org.oleanderturn.distribution.RelayRole;
import org.oleanderturn.distribution.VersionListener;
import org.oleanderturn.membership.Gossip;
import org.oleanderturn.membership.GossipSettings;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.membership.MembershipListener;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.EndpointState;
import org.oleanderturn.store.Store;

/**
 * The control plane of a node: membership, relay election and the distribution of configurations.
 *
 * <p>Invariant: the components are created once and never replaced. Thread safe.
 */
final class ControlPlane {
    private static final long GOSSIP_INTERVAL_MILLISECONDS = 200;
    private static final long ELECTION_INTERVAL_MILLISECONDS = 300;

    /** A whole fleet that starts would otherwise stand for relay at once. */
    private static final long LONGEST_SOLO_CAMPAIGN_DELAY_MILLISECONDS = 4_000;

    /** Advertised until the configured number of slots is known. */
    private static final int PLACEHOLDER_SLOTS = 1;

    /** Selects the rule by which a node acts as a relay, which reads configurations and passes them on. */
    interface RelayRoleSelector {

        /** Returns the role that this node follows. */
        RelayRole select(RelayElection election, MemberDirectory directory);
    }

    private final Gossip gossip;
    private final MemberDirectory directory;
    private final RelayElection election;
    private final RelayRole role;
    private final RelayDirectory relayDirectory;
    private final MemberDiscovery memberDiscovery;
    private final ConfigurationPlane configuration;
    private final HeadWatcher headWatcher;
    private final ProposalAcceptor acceptor;
    private final LongSupplier milliseconds;
    private final long startedMilliseconds;
    private final long soloCampaignDelayMilliseconds;

    ControlPlane(
            NodeSettings settings,
            Store store,
            ControlChannel channel,
            LongSupplier milliseconds,
            GossipSettings gossipSettings,
            RelayRoleSelector roleSelector,
            MembershipListener listener,
            VersionListener versionListener) {
        Objects.requireNonNull(settings, "settings is null");
        Objects.requireNonNull(channel, "channel is null");
        this.milliseconds = Objects.requireNonNull(milliseconds, "milliseconds is null");
        RandomGenerator random = new SplittableRandom(new SecureRandom().nextLong());
        this.gossip = Gossip.of(localRecord(settings), gossipSettings, channel, milliseconds, random, listener);
        this.directory = new MemberDirectory(gossip::table);
        this.election = election(settings, store, directory, split(random));
        this.role = roleSelector.select(election, directory);
        this.relayDirectory = new RelayDirectory(store, election, milliseconds);
        this.memberDiscovery = new MemberDiscovery(gossip, settings.join(), relayDirectory, split(random));
        this.configuration = new ConfigurationPlane(
                settings,
                directory,
                role,
                channel,
                channel,
                channel.executor(),
                memberDiscovery::hasAttemptedJoin,
                versionListener,
                milliseconds,
                split(random));
        this.headWatcher = HeadWatcher.of(
                store,
                election,
                holder(),
                readinessGate(),
                settings.locality(),
                settings.platformRegion(),
                directory,
                split(random));
        this.startedMilliseconds = milliseconds.getAsLong();
        this.soloCampaignDelayMilliseconds = soloCampaignDelayMilliseconds(random);
        this.acceptor = ProposalAcceptor.of(store, holder(), configuration.history(), this::newestVersion);
    }

    // -- components

    ConfigurationPlane configuration() {
        return configuration;
    }

    ReadinessGate readinessGate() {
        return configuration.readinessGate();
    }

    ConfigurationHolder holder() {
        return configuration.holder();
    }

    Gossip gossip() {
        return gossip;
    }

    MemberDirectory directory() {
        return directory;
    }

    RelayElection election() {
        return election;
    }

    /** Returns the role that decides whether this node reads configurations and passes them on. */
    RelayRole role() {
        return role;
    }

    /** Returns the relays of all zones as the platform's store knows them. */
    RelayDirectory relayDirectory() {
        return relayDirectory;
    }

    /** Returns whether this node joins a fleet that was running when it started. */
    boolean isFleetRunning() {
        return relayDirectory.isFleetRunning();
    }

    HeadWatcher headWatcher() {
        return headWatcher;
    }

    Disseminator disseminator() {
        return configuration.disseminator();
    }

    ProposalAcceptor acceptor() {
        return acceptor;
    }

    Recovery recovery() {
        return configuration.recovery();
    }

    /** Returns the newest version that this node holds or has heard of. */
    ConfigurationVersion newestVersion() {
        return ConfigurationVersion.newest(disseminator().newestKnown(), directory.newestVersion());
    }

    // -- commands

    /** Starts the periodic tasks; {@code onReady} runs once, when the node becomes ready. */
    void start(PeriodicTasks tasks, Runnable onReady) {
        configuration.start(tasks, gossip::advanceHeldVersion, onReady);
        tasks.runRepeatedly(() -> headWatcher.runOnce(milliseconds.getAsLong()));
        startMembership(tasks);
    }

    /** Starts the periodic tasks of the membership alone, where configurations come from another source. */
    void startMembership(PeriodicTasks tasks) {
        tasks.runEvery(GOSSIP_INTERVAL_MILLISECONDS, gossip::tick);
        tasks.runEvery(ELECTION_INTERVAL_MILLISECONDS, this::campaign);
        tasks.runRepeatedly(memberDiscovery::step);
    }

    /** Takes part in the election once other nodes are known or had time to become known. */
    private void campaign() {
        long now = milliseconds.getAsLong();
        if (now - startedMilliseconds >= soloCampaignDelayMilliseconds
                || !gossip.table().reachablePeers().isEmpty()) {
            election.tick(now);
        }
    }

    /**
     * Returns how long a node that knows nobody waits until it stands for relay. The delays of few nodes are short, so that
     * the others find these registered when they look.
     */
    private static long soloCampaignDelayMilliseconds(RandomGenerator random) {
        return Math.round(LONGEST_SOLO_CAMPAIGN_DELAY_MILLISECONDS * Math.sqrt(random.nextDouble()));
    }

    /** Resigns from the relay election and announces the departure; blocks for one gossip interval. */
    void leave() {
        election.resign();
        gossip.leave();
        LockSupport.parkNanos(Duration.ofMillis(GOSSIP_INTERVAL_MILLISECONDS).toNanos());
    }

    private static RelayElection election(
            NodeSettings settings, Store store, MemberDirectory directory, RandomGenerator random) {
        RelayCandidacy candidacy =
                RelayCandidacy.of(settings.node(), settings.locality(), settings.platformRegion(), directory);
        RelayRegistration registration =
                new RelayRegistration(settings.node(), settings.listen().control());
        return RelayElection.of(store, registration, settings.availabilityZone(), candidacy, random);
    }

    private static RandomGenerator split(RandomGenerator random) {
        return new SplittableRandom(random.nextLong());
    }

    private static MemberRecord localRecord(NodeSettings settings) {
        Endpoint endpoint = new Endpoint(
                settings.node(),
                settings.listen().peer(),
                settings.locality(),
                settings.target().service(),
                PLACEHOLDER_SLOTS,
                EndpointState.STARTING,
                System.currentTimeMillis());
        return MemberRecord.of(endpoint, settings.listen().control());
    }
}
