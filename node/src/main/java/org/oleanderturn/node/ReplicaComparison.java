package org.oleanderturn.node;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.model.Address;

/**
 * Keeps this node's replica of something and those of the other nodes alike: compares with nodes that have become reachable,
 * and with a random node from time to time. Thread safe.
 *
 * @param <T> what a replica holds
 */
final class ReplicaComparison<T> {
    /** How many nodes a starting or returning node compares with at once; one of them is enough as a rule. */
    private static final int COMPARED_AT_ONCE = 3;

    /** A replica. Implementations are thread safe. */
    interface Replica<T> {

        /** Returns a hash that is equal for replicas that hold the same. */
        long digest();

        /** Returns what the replica holds. */
        List<T> known();

        /** Adds what another replica holds. */
        void merge(List<T> received);
    }

    /** Carries replicas between nodes. Implementations are thread safe. */
    interface Transport<T> {

        /** Returns what a node's replica holds; empty if its digest is the given one. Blocks. */
        Either<ControlFailure, Optional<List<T>>> compare(Address peer, long digest);

        /** Sends what a replica holds to nodes; doesn't block. */
        void send(List<Address> peers, List<T> known);
    }

    private final Replica<T> replica;
    private final Transport<T> transport;
    private final Supplier<List<MemberRecord>> peers;
    private final Executor executor;
    private final RandomGenerator random;

    ReplicaComparison(
            Replica<T> replica,
            Transport<T> transport,
            Supplier<List<MemberRecord>> peers,
            Executor executor,
            RandomGenerator random) {
        this.replica = Objects.requireNonNull(replica, "replica is null");
        this.transport = Objects.requireNonNull(transport, "transport is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.executor = Objects.requireNonNull(executor, "executor is null");
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /** Compares with one random node; blocks until it has answered. */
    void compareWithOne() {
        List<MemberRecord> reachable = peers.get();
        if (!reachable.isEmpty()) {
            compare(reachable.get(random.nextInt(reachable.size())).controlAddress());
        }
    }

    /** Compares with some of the nodes that have become reachable; doesn't block. */
    void compareWith(List<Address> addresses) {
        List<Address> shuffled = new ArrayList<>(addresses);
        Collections.shuffle(shuffled, Random.from(random));
        shuffled.stream().limit(COMPARED_AT_ONCE).forEach(address -> executor.execute(() -> compare(address)));
    }

    /** Merges what another node knows; sends it what this node knows if that differs. */
    private void compare(Address peer) {
        Either<ControlFailure, Optional<List<T>>> answer = transport.compare(peer, replica.digest());
        answer.forEach(difference -> difference.ifPresent(known -> {
            replica.merge(known);
            List<T> own = replica.known();
            if (!own.isEmpty()) {
                transport.send(List.of(peer), own);
            }
        }));
    }
}
