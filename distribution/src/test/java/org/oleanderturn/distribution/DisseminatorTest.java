package org.oleanderturn.distribution;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.Locality;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.Region;

final class DisseminatorTest {
    private static final Locality HERE = Locality.of("south", "hobart");
    private static final int OWN_ZONE_FANOUT = 3;

    private final ConfigurationHolder holder = ConfigurationHolder.empty();
    private final List<Runnable> transfers = new ArrayList<>();
    private final Map<Address, List<ConfigurationUpdate>> pushed = new LinkedHashMap<>();
    private ConfigurationSnapshot peerHolds = ConfigurationSnapshot.empty();
    private final Disseminator disseminator = Disseminator.of(
            holder,
            UpdateSource.of(holder, SnapshotHistory.of(holder)),
            new RecordingTransport(),
            () -> IntStream.range(0, OWN_ZONE_FANOUT).mapToObj(this::peer).toList(),
            _ -> OptionalInt.empty(),
            HERE,
            Region.of("south"),
            transfers::add,
            new SplittableRandom(1));

    @Test
    void shouldHoldUpNoPushWhenAPeerIsSlow() {
        holder.adopt(Samples.snapshot(1));
        disseminator.disseminate(0);
        assertThat(pushed).isEmpty();
        assertThat(transfers).hasSize(OWN_ZONE_FANOUT);
        transfers.getLast().run();
        assertThat(pushed).hasSize(1);
    }

    @Test
    void shouldSendLargeContentOnlyToPeersThatLackIt() {
        peerHolds = snapshot(1, 1);
        holder.adopt(peerHolds);
        holder.adopt(snapshot(2, 100));
        disseminator.disseminate(0);
        transfers.getFirst().run();
        assertThat(pushed.values().iterator().next().stream()
                        .map(Object::getClass)
                        .toList())
                .containsExactly(ConfigurationUpdate.Current.class, ConfigurationUpdate.Delta.class)
                .inOrder();
        peerHolds = holder.held();
        transfers.get(1).run();
        assertThat(new ArrayList<>(pushed.values()).get(1))
                .containsExactly(new ConfigurationUpdate.Current(ConfigurationVersion.of(2)));
    }

    @Test
    void shouldComputeTheUpdateOnceForAllPeersThatHoldTheSameVersion() {
        peerHolds = Samples.snapshot(1);
        holder.adopt(peerHolds);
        holder.adopt(Samples.snapshot(2));
        disseminator.disseminate(0);
        transfers.forEach(Runnable::run);
        List<ConfigurationUpdate> deltas =
                pushed.values().stream().map(List::getFirst).toList();
        assertThat(deltas).hasSize(OWN_ZONE_FANOUT);
        assertThat(deltas.getFirst()).isInstanceOf(ConfigurationUpdate.Delta.class);
        deltas.forEach(delta -> assertThat(delta).isSameInstanceAs(deltas.getFirst()));
    }

    private static ConfigurationSnapshot snapshot(int version, int services) {
        return ConfigurationSnapshot.of(ConfigurationVersion.of(version), Samples.manyServices(services));
    }

    private Peer peer(int number) {
        return new Peer(
                NodeId.of("peer-" + number), Address.of("127.0.0.1", number + 1), HERE, peerHolds.version(), true);
    }

    /** Keeps what is pushed and answers as a peer that holds {@link #peerHolds}. */
    private final class RecordingTransport implements ConfigurationTransport {
        @Override
        public Either<PeerFailure, ConfigurationUpdate> fetch(
                Address peer, ConfigurationVersion held, Digest heldDigest) {
            return Either.left(new PeerFailure.TimedOut());
        }

        @Override
        public Either<PeerFailure, PushResponse> push(Address peer, ConfigurationUpdate update) {
            pushed.computeIfAbsent(peer, _ -> new ArrayList<>()).add(update);
            boolean isLacking = update instanceof ConfigurationUpdate.Current current
                    && current.version().isAfter(peerHolds.version());
            return Either.right(
                    isLacking
                            ? new PushResponse.Behind(peerHolds.version(), peerHolds.digest())
                            : new PushResponse.AlreadyHeld(holder.version()));
        }
    }
}
