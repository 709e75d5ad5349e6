package org.oleanderturn.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.oleanderturn.model.NodeId;

/**
 * Selects members round-robin, with a new random order for each round.
 *
 * <p>Invariant: a member that stays in the table is selected at least once in two rounds. Not thread safe.
 */
final class ProbeOrder {
    private final RandomGenerator random;
    private final Deque<NodeId> remaining = new ArrayDeque<>();

    ProbeOrder(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the next of the given members; empty if there are none. */
    Optional<MemberRecord> next(List<MemberRecord> members) {
        if (members.isEmpty()) {
            return Optional.empty();
        }
        Optional<MemberRecord> next = nextOfRound(members);
        if (next.isPresent()) {
            return next;
        }
        startRound(members);
        return nextOfRound(members);
    }

    private Optional<MemberRecord> nextOfRound(List<MemberRecord> members) {
        Set<NodeId> present =
                new HashSet<>(members.stream().map(MemberRecord::node).toList());
        while (!remaining.isEmpty()) {
            NodeId node = remaining.pop();
            if (present.contains(node)) {
                return members.stream()
                        .filter(member -> member.node().equals(node))
                        .findFirst();
            }
        }
        return Optional.empty();
    }

    private void startRound(List<MemberRecord> members) {
        List<NodeId> nodes = members.stream().map(MemberRecord::node).collect(Collectors.toCollection(ArrayList::new));
        shuffle(nodes, random);
        remaining.addAll(nodes);
    }

    static <T> void shuffle(List<T> items, RandomGenerator random) {
        for (int last = items.size() - 1; last > 0; last--) {
            Collections.swap(items, last, random.nextInt(last + 1));
        }
    }

    static <T> List<T> sample(List<T> items, int count, RandomGenerator random) {
        List<T> shuffled = new ArrayList<>(items);
        shuffle(shuffled, random);
        return List.copyOf(shuffled.subList(0, Math.min(count, shuffled.size())));
    }
}
