package org.oleanderturn.node;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Locality;
import org.oleanderturn.traffic.CrashLedger;
import org.oleanderturn.traffic.CrashSuspicion;
import org.oleanderturn.traffic.Fingerprint;

/**
 * Keeps this node's {@link CrashLedger} and those of the other nodes alike: sends each change to all reachable nodes at
 * once, compares with nodes that have become reachable, and compares with a random node from time to time.
 *
 * <p>Invariant: changes that come while others are being sent go together in one message. Thread safe.
 */
final class SuspicionExchange
        implements ReplicaComparison.Replica<CrashSuspicion>, ReplicaComparison.Transport<CrashSuspicion> {
    /** How many nodes are asked one after the other to keep a suspicion, before the store is. */
    private static final int KEEPERS_ASKED = 3;

    private final Locality locality;
    private final CrashLedger ledger;
    private final ControlChannel channel;
    private final Supplier<List<MemberRecord>> peers;
    private final Executor executor;
    private final RandomGenerator random;
    private final ReplicaComparison<CrashSuspicion> comparison;
    private final Queue<CrashSuspicion> pending = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean isSendDue = new AtomicBoolean();

    SuspicionExchange(
            Locality locality,
            CrashLedger ledger,
            ControlChannel channel,
            Supplier<List<MemberRecord>> peers,
            Executor executor,
            RandomGenerator random) {
        this.locality = Objects.requireNonNull(locality, "locality is null");
        this.ledger = Objects.requireNonNull(ledger, "ledger is null");
        this.channel = Objects.requireNonNull(channel, "channel is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.executor = Objects.requireNonNull(executor, "executor is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.comparison = new ReplicaComparison<>(this, this, peers, executor, random);
    }

    /** Sends changes of the ledger to all reachable nodes; doesn't block. */
    void publish(List<CrashSuspicion> changes) {
        pending.addAll(changes);
        if (isSendDue.compareAndSet(false, true)) {
            executor.execute(this::sendPending);
        }
    }

    /**
     * Sends a suspicion to another node, preferably in another availability zone, as those of one may end together; returns
     * whether one has acknowledged it. Blocks.
     */
    boolean keepAtPeer(CrashSuspicion suspicion) {
        List<MemberRecord> shuffled = new ArrayList<>(peers.get());
        Collections.shuffle(shuffled, Random.from(random));
        List<MemberRecord> elsewhere = shuffled.stream()
                .filter(peer -> !peer.locality().equals(locality))
                .toList();
        List<MemberRecord> nearby = shuffled.stream()
                .filter(peer -> peer.locality().equals(locality))
                .toList();
        return Stream.of(
                        elsewhere.stream().limit(1),
                        nearby.stream(),
                        elsewhere.stream().skip(1))
                .flatMap(Function.identity())
                .limit(KEEPERS_ASKED)
                .anyMatch(peer ->
                        channel.sendSuspicion(peer.controlAddress(), suspicion).isRight());
    }

    /** Forgets what is too old and compares with one random node; blocks until it has answered. */
    void compareWithOne() {
        ledger.forgetExpired();
        comparison.compareWithOne();
    }

    /** Compares with some of the nodes that have become reachable; doesn't block. */
    void compareWith(List<Address> addresses) {
        comparison.compareWith(addresses);
    }

    private void sendPending() {
        isSendDue.set(false);
        Map<Fingerprint, CrashSuspicion> newest = new LinkedHashMap<>();
        CrashSuspicion next = pending.poll();
        while (next != null) {
            newest.put(next.fingerprint(), next);
            next = pending.poll();
        }
        if (!newest.isEmpty()) {
            channel.sendSuspicions(
                    peers.get().stream().map(MemberRecord::controlAddress).toList(), List.copyOf(newest.values()));
        }
    }

    // -- replica

    @Override
    public long digest() {
        return ledger.digest();
    }

    @Override
    public List<CrashSuspicion> known() {
        return ledger.suspicions();
    }

    @Override
    public void merge(List<CrashSuspicion> received) {
        var _ = ledger.merge(received);
    }

    // -- transport

    @Override
    public Either<ControlFailure, Optional<List<CrashSuspicion>>> compare(Address peer, long digest) {
        return channel.compareSuspicions(peer, digest);
    }

    @Override
    public void send(List<Address> addresses, List<CrashSuspicion> known) {
        channel.sendSuspicions(addresses, known);
    }
}
