package org.oleanderturn.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.EndpointState;

final class MemberRecordTest {
    private static final int ROUNDS = 2_000;

    private static MemberRecord randomRecord(Random random) {
        MemberRecord record = FakeNetwork.record("a1", "south", "hobart", random.nextInt(3));
        Liveness liveness = randomElement(List.of(Liveness.values()), random);
        EndpointState state = randomElement(List.of(EndpointState.values()), random);
        MemberRecord recordInState = state == EndpointState.STARTING ? record : record.withState(state);
        return recordInState.withLiveness(liveness).withHeldVersion(ConfigurationVersion.of(random.nextInt(3)));
    }

    private static <T> T randomElement(List<T> items, Random random) {
        return items.get(random.nextInt(items.size()));
    }

    @Test
    void shouldMergeToSameRecordWhenOrderAndRepetitionDiffer() {
        for (int seed = 0; seed < ROUNDS; seed++) {
            Random random = new Random(seed);
            MemberRecord first = randomRecord(random);
            MemberRecord second = randomRecord(random);
            MemberRecord third = randomRecord(random);
            assertWithMessage("seed %s", seed).that(first.merge(second)).isEqualTo(second.merge(first));
            assertWithMessage("seed %s", seed)
                    .that(first.merge(second).merge(third))
                    .isEqualTo(first.merge(second.merge(third)));
            assertWithMessage("seed %s", seed).that(first.merge(first)).isEqualTo(first);
            assertWithMessage("seed %s", seed)
                    .that(first.merge(second).subsumes(second))
                    .isTrue();
        }
    }

    @Test
    void shouldStartNewIncarnationWhenStateMovesBack() {
        MemberRecord draining = FakeNetwork.record("a1", "south", "hobart", 5).withState(EndpointState.DRAINING);
        assertThat(draining.incarnation()).isEqualTo(5);
        assertThat(draining.withState(EndpointState.READY).incarnation()).isEqualTo(6);
    }

    @Test
    void shouldNotExceedMaximumEncodedBytesWhenGossipRecordIsEncoded() {
        MemberRecord record = FakeNetwork.record("a1", "south", "hobart", Long.MAX_VALUE)
                .withState(EndpointState.DRAINING)
                .withLiveness(Liveness.UNREACHABLE);
        GossipRecord gossipRecord = GossipRecord.of(record, ConfigurationVersion.of(Long.MAX_VALUE), Long.MAX_VALUE);
        byte[] bytes = Codec.messagePack().encode(gossipRecord);
        assertThat(bytes.length).isAtMost(gossipRecord.maximumEncodedBytes());
        assertThat(Codec.messagePack().decode(bytes, GossipRecord.class).get()).isEqualTo(gossipRecord);
    }
}
