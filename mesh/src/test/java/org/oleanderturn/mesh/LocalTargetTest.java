package org.oleanderturn.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.model.SoftwareVersion;
import org.oleanderturn.traffic.SlotQueue;

final class LocalTargetTest {
    private static final ServiceName SERVICE = ServiceName.of("service");
    private static final TargetStart START = new TargetStart("i-1", 1);
    private static final int ROUNDS = 3_000;

    @Test
    void shouldStayClosedWhenAHeartbeatArrivesTogetherWithADeregistration() throws InterruptedException {
        for (int round = 0; round < ROUNDS; round++) {
            LocalTarget target =
                    LocalTarget.of(NodeId.of("node-1"), SERVICE, SlotQueue.of(() -> 0), Duration.ofSeconds(5), () -> 0);
            target.applyReport(report(1));
            CountDownLatch begin = new CountDownLatch(1);
            Thread heartbeat = Thread.ofPlatform().start(() -> {
                await(begin);
                target.applyReport(report(2));
            });
            Thread deregistration = Thread.ofPlatform().start(() -> {
                await(begin);
                target.deregister(new TargetCall.Deregistration(START.instance(), OptionalLong.of(1)));
            });
            begin.countDown();
            heartbeat.join();
            deregistration.join();
            assertThat(target.activeStart().isPresent()).isFalse();
        }
    }

    private static TargetReport report(long sequence) {
        return new TargetReport(START, sequence, SERVICE, 9, false);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
        }
    }

    /** A target that is replaced without a pause keeps its state; the other nodes must learn its new version. */
    @Test
    void shouldCallTheListenerWhenOnlyTheVersionChanges() {
        LocalTarget target =
                LocalTarget.of(NodeId.of("node-1"), SERVICE, SlotQueue.of(() -> 0), Duration.ofSeconds(5), () -> 0);
        AtomicInteger calls = new AtomicInteger();
        target.onStateChange(_ -> calls.incrementAndGet());
        target.applyReport(report(1, "v1"));
        target.applyReport(report(2, "v1"));
        assertThat(calls.get()).isEqualTo(1);
        target.applyReport(report(3, "v2"));
        assertThat(calls.get()).isEqualTo(2);
        assertThat(target.status().version()).isEqualTo(Optional.of(SoftwareVersion.of("v2")));
    }

    private static TargetReport report(long sequence, String version) {
        return new TargetReport(START, sequence, SERVICE, 9, false, Optional.of(SoftwareVersion.of(version)));
    }
}
