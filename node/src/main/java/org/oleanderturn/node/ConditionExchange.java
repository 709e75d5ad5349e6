package org.oleanderturn.node;

import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.membership.MemberRecord;
import org.oleanderturn.mesh.TargetCondition;
import org.oleanderturn.model.Address;

/**
 * Tells other nodes what the local target asks of the nodes, and keeps what this node knows of their targets up to date.
 *
 * <p>Invariant: however often the condition changes, it is sent a few times a second at most; replies to requests carry the
 * latest one. {@link #announce} must be called by one thread at a time; the rest is thread safe.
 */
final class ConditionExchange
        implements ReplicaComparison.Replica<TargetCondition>, ReplicaComparison.Transport<TargetCondition> {
    private static final long INTERVAL_MILLISECONDS = 200;

    /** Limits a node to 100 messages per second regardless of the number of nodes. */
    private static final long INTERVAL_MILLISECONDS_PER_PEER = 10;

    private final MeshDataPlane data;
    private final ControlChannel channel;
    private final Supplier<List<MemberRecord>> peers;
    private final ReplicaComparison<TargetCondition> comparison;
    private Optional<TargetCondition> lastSent = Optional.empty();

    ConditionExchange(
            MeshDataPlane data,
            ControlChannel channel,
            Supplier<List<MemberRecord>> peers,
            Executor executor,
            RandomGenerator random) {
        this.data = Objects.requireNonNull(data, "data is null");
        this.channel = Objects.requireNonNull(channel, "channel is null");
        this.peers = Objects.requireNonNull(peers, "peers is null");
        this.comparison = new ReplicaComparison<>(this, this, peers, executor, random);
    }

    /** Sends the local target's condition if it has changed; returns the delay before the next check, in milliseconds. */
    long announce() {
        Optional<TargetCondition> current = data.target().condition();
        List<MemberRecord> reachable = peers.get();
        if (!current.equals(lastSent)) {
            lastSent = current;
            List<Address> addresses =
                    reachable.stream().map(MemberRecord::controlAddress).toList();
            current.ifPresent(condition -> send(addresses, List.of(condition)));
        }
        return Math.max(INTERVAL_MILLISECONDS, reachable.size() * INTERVAL_MILLISECONDS_PER_PEER);
    }

    /** Compares with one random node; blocks until it has answered. */
    void compareWithOne() {
        comparison.compareWithOne();
    }

    /** Compares with some of the nodes that have become reachable; doesn't block. */
    void compareWith(List<Address> addresses) {
        comparison.compareWith(addresses);
    }

    // -- replica

    @Override
    public long digest() {
        return data.conditions().digest();
    }

    @Override
    public List<TargetCondition> known() {
        return data.conditions().known();
    }

    @Override
    public void merge(List<TargetCondition> received) {
        data.mergeConditions(received);
    }

    // -- transport

    @Override
    public Either<ControlFailure, Optional<List<TargetCondition>>> compare(Address peer, long digest) {
        return channel.compareConditions(peer, digest);
    }

    @Override
    public void send(List<Address> addresses, List<TargetCondition> known) {
        channel.sendConditions(addresses, known);
    }
}
