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
 * Finds the other members: at the start, and again when a part of them is out of sight.
 *
 * <p>Invariant: a node that is not alone tries at most one address a round, so joining costs little however many members
 * are down. Commands are for one thread at a time; queries are thread safe.
 */
final class Joining {
    private static final long ALONE_PAUSE_MILLISECONDS = 300;
    private static final long ROUND_MILLISECONDS = 5_000;
    private static final int ROUNDS_BETWEEN_RENDEZVOUS = 4;
    private static final int STEPS_BETWEEN_RENDEZVOUS_ALONE = 3;

    private final Gossip gossip;
    private final List<Address> addresses;
    private final Rendezvous rendezvous;
    private final RandomGenerator random;
    private final AtomicBoolean hasTried = new AtomicBoolean();
    private List<Address> lastRelays = List.of();
    private int steps;

    Joining(Gossip gossip, List<Address> addresses, Rendezvous rendezvous, RandomGenerator random) {
        this.gossip = Objects.requireNonNull(gossip, "gossip is null");
        this.addresses = List.copyOf(addresses);
        this.rendezvous = Objects.requireNonNull(rendezvous, "rendezvous is null");
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
            return joinAlone();
        }
        hasTried.set(true);
        List<Address> known = new ArrayList<>(addresses);
        if (isRendezvousDue()) {
            known.addAll(rendezvous.relays());
        }
        List<Address> unseen = unseen(table, known);
        if (!unseen.isEmpty()) {
            gossip.join(List.of(unseen.get(random.nextInt(unseen.size()))));
        }
        return ROUND_MILLISECONDS + random.nextLong(ROUND_MILLISECONDS);
    }

    private long joinAlone() {
        steps++;
        List<Address> known = new ArrayList<>(addresses);
        if (steps % STEPS_BETWEEN_RENDEZVOUS_ALONE == 1) {
            List<Address> relays = rendezvous.relays();
            lastRelays = relays.isEmpty() ? lastRelays : relays;
        }
        known.addAll(lastRelays);
        gossip.join(known);
        hasTried.set(true);
        return ALONE_PAUSE_MILLISECONDS + random.nextLong(ALONE_PAUSE_MILLISECONDS);
    }

    /** Returns whether a relay is to look for relays that it does not know: two parts of the members may not know each other. */
    private boolean isRendezvousDue() {
        steps++;
        return rendezvous.isRelay() && steps % ROUNDS_BETWEEN_RENDEZVOUS == 0;
    }

    private static List<Address> unseen(MemberTable table, List<Address> known) {
        Set<Address> reachable = table.reachablePeers().stream()
                .map(MemberRecord::controlAddress)
                .collect(Collectors.toSet());
        reachable.add(table.local().controlAddress());
        return known.stream().filter(address -> !reachable.contains(address)).toList();
    }
}
