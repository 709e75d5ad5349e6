package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.traffic.Fingerprint;
import org.oleanderturn.traffic.QuarantineRecord;
import org.oleanderturn.wire.Frame;
import org.oleanderturn.wire.WireFailure;

final class ControlChannelTest {
    private static final Address SELF = Address.of("127.0.0.1", 23_001);
    private static final Address NEAR = Address.of("127.0.0.1", 23_002);
    private static final Address FAR = Address.of("127.0.0.1", 23_003);
    private static final QuarantineRecord QUARANTINE_RECORD =
            new QuarantineRecord(Fingerprint.of("023b08ffe2250f29e278ce49e5119639"), NodeId.of("near"), 1_000, 1);

    private final Set<Address> informedPeers = ConcurrentHashMap.newKeySet();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

    @AfterEach
    void stop() {
        executor.shutdownNow();
    }

    @Test
    void shouldReturnWhenEveryPeerHasReceivedTheQuarantine() {
        channel(Set.of()).announceQuarantine(List.of(NEAR, FAR), QUARANTINE_RECORD);

        assertThat(informedPeers).containsExactly(NEAR, FAR);
    }

    @Test
    void shouldInformTheOtherPeersWhenOnePeerDoesNotAnswer() {
        channel(Set.of(FAR)).announceQuarantine(List.of(FAR, NEAR), QUARANTINE_RECORD);

        assertThat(informedPeers).containsExactly(NEAR);
    }

    private ControlChannel channel(Set<Address> unresponsive) {
        FrameCaller caller = (peer, _, timeout) -> {
            if (unresponsive.contains(peer)) {
                return Either.left(new WireFailure.TimedOut(peer, timeout));
            }
            informedPeers.add(peer);
            return acknowledgement();
        };
        return ControlChannel.of(caller, executor, SELF);
    }

    private static Either<WireFailure, Frame> acknowledgement() {
        return Either.right(
                Frame.of(ControlFrames.PLAIN_KIND, Codec.messagePack().encode(new ControlMessage.Noted())));
    }
}
