package org.oleanderturn.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.oleanderturn.membership.Gossip;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.membership.MemberTable;
import org.oleanderturn.model.Address;

/**
 * Discovers the other members: at the start, and later when some configured address or relay is unreachable.
 *
 * <p>Invariant: a node with a reachable peer tries at most one address per round, so that the cost stays low however many
 * members are down. Commands must come from one thread at a time; queries are thread safe.
 */
final class MemberDiscovery {
    private static final long RETRY_DELAY_MILLISECONDS = 300;
    private static final long ROUND_INTERVAL_MILLISECONDS = 5_000;
    private static final int ROUNDS_PER_RELAY_READ = 4;
    private static final int RETRIES_PER_RELAY_READ = 3;

    private final Gossip gossip;
    private final List<Address> addresses;
    private final RelayDirectory relayDirectory;
    private final RandomGenerator random;
    private final AtomicBoolean hasAttemptedJoin = new AtomicBoolean();
    private List<Address> lastRelays = List.of();
    private int steps;

    MemberDiscovery(Gossip gossip, List<Address> addresses, RelayDirectory relayDirectory, RandomGenerator random) {
        this.gossip = Objects.requireNonNull(gossip, "gossip is null");
        this.addresses = List.copyOf(addresses);
        this.relayDirectory = Objects.requireNonNull(relayDirectory, "relayDirectory is null");
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /** Returns whether a member was reached, or every known address was tried at least once. */
    boolean hasAttemptedJoin() {
        return hasAttemptedJoin.get();
    }

    /** Tries to reach members; returns the delay before the next step, in milliseconds. */
    long step() {
        MemberTable table = gossip.table();
        if (table.reachablePeers().isEmpty()) {
            return joinWithoutPeers();
        }
        hasAttemptedJoin.set(true);
        List<Address> candidates = new ArrayList<>(addresses);
        if (isRelayReadDue()) {
            candidates.addAll(relayDirectory.relays());
        }
        List<Address> unreachable = unreachable(table, candidates);
        if (!unreachable.isEmpty()) {
            gossip.join(List.of(unreachable.get(random.nextInt(unreachable.size()))));
        }
        return ROUND_INTERVAL_MILLISECONDS + random.nextLong(ROUND_INTERVAL_MILLISECONDS);
    }

    private long joinWithoutPeers() {
        steps++;
        List<Address> candidates = new ArrayList<>(addresses);
        if (steps % RETRIES_PER_RELAY_READ == 1) {
            List<Address> relays = relayDirectory.relays();
            lastRelays = relays.isEmpty() ? lastRelays : relays;
        }
        candidates.addAll(lastRelays);
        gossip.join(candidates);
        hasAttemptedJoin.set(true);
        return RETRY_DELAY_MILLISECONDS + random.nextLong(RETRY_DELAY_MILLISECONDS);
    }

    /** Returns whether to read the relays from the store, which reunites groups of members that don't know each other. */
    private boolean isRelayReadDue() {
        steps++;
        return relayDirectory.isRelay() && steps % ROUNDS_PER_RELAY_READ == 0;
    }

    private static List<Address> unreachable(MemberTable table, List<Address> candidates) {
        Set<Address> reachable = table.reachablePeers().stream()
                .map(MemberRecord::controlAddress)
                .collect(Collectors.toSet());
        reachable.add(table.local().controlAddress());
        return candidates.stream()
                .filter(address -> !reachable.contains(address))
                .toList();
    }
}
