package org.oleanderturn.node;

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
 * Finds the other members: at the start, and again when a part of them is out of sight.
 *
 * <p>Invariant: a node that is not alone tries at most one address a round, so joining costs little however many members
 * are down. Commands are for one thread at a time; queries are thread safe.
 */
final class Joining {
    private static final long ALONE_PAUSE_MILLISECONDS = 500;
    private static final long ROUND_MILLISECONDS = 5_000;

    private final Gossip gossip;
    private final List<Address> addresses;
    private final RandomGenerator random;
    private final AtomicBoolean hasTried = new AtomicBoolean();

    Joining(Gossip gossip, List<Address> addresses, RandomGenerator random) {
        this.gossip = Objects.requireNonNull(gossip, "gossip is null");
        this.addresses = List.copyOf(addresses);
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /** Returns whether members were found, or every address was tried once. */
    boolean hasTried() {
        return hasTried.get();
    }

    /** Tries to find members; returns how long to pause before the next step, in milliseconds. */
    long step() {
        MemberTable table = gossip.table();
        if (table.reachablePeers().isEmpty()) {
            gossip.join(addresses);
            hasTried.set(true);
            return ALONE_PAUSE_MILLISECONDS;
        }
        hasTried.set(true);
        List<Address> unseen = unseen(table);
        if (!unseen.isEmpty()) {
            gossip.join(List.of(unseen.get(random.nextInt(unseen.size()))));
        }
        return ROUND_MILLISECONDS + random.nextLong(ROUND_MILLISECONDS);
    }

    private List<Address> unseen(MemberTable table) {
        Set<Address> reachable = table.reachablePeers().stream()
                .map(MemberRecord::controlAddress)
                .collect(Collectors.toSet());
        reachable.add(table.local().controlAddress());
        return addresses.stream()
                .filter(address -> !reachable.contains(address))
                .toList();
    }
}
