package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.DurationText;
import org.oleanderturn.model.RolloutState;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.platform.FakeOperator;
import org.oleanderturn.platform.RolloutKeys;

/** Guards the way from an order in the store to the targets, by whole nodes on loopback. */
final class RolloutFleetTest {
    private static final int FLEET_SIZE = 6;
    private static final int FIRST_NEW = 3;
    private static final int SENDERS = 6;
    private static final double SHARE = 0.1;
    private static final double SLACK = 50;
    private static final String SERVICE = "orders";

    private final AtomicBoolean isSending = new AtomicBoolean(true);
    private final AtomicInteger requests = new AtomicInteger();
    private final List<Thread> senders = new ArrayList<>();

    private static MeshFleet fleet(boolean isNewFailing) throws IOException {
        NodeSettings.Rollouts rollouts = new NodeSettings.Rollouts(SHARE, SLACK, DurationText.of("5s"));
        MeshFleet fleet = MeshFleet.start(FLEET_SIZE, Optional.of(rollouts));
        for (int host = FIRST_NEW; host < FLEET_SIZE; host++) {
            fleet.target(host).setVersion("v2", isNewFailing);
        }
        return fleet;
    }

    private void order(MeshFleet fleet) {
        fleet.store().write(FakeOperator.rolloutKey(SERVICE), FakeOperator.rolloutOrder(SERVICE, "v2", "12s"));
        MeshFleet.await(() -> isIn(fleet, RolloutState.RUNNING));
    }

    private void send(MeshFleet fleet) {
        for (int sender = 0; sender < SENDERS; sender++) {
            int host = sender;
            senders.add(Thread.ofPlatform().start(() -> {
                while (isSending.get()) {
                    requests.incrementAndGet();
                    fleet.status(host, "/lookup/rollout");
                }
            }));
        }
    }

    private void stopSending() throws InterruptedException {
        isSending.set(false);
        for (Thread sender : senders) {
            sender.join();
        }
    }

    private static boolean isIn(MeshFleet fleet, RolloutState state) {
        return fleet.store()
                .read(RolloutKeys.statusKey(ServiceName.of(SERVICE)))
                .flatMap(RolloutKeys::decodeStatus)
                .filter(status -> status.state() == state)
                .isPresent();
    }

    private static long newRuns(MeshFleet fleet) {
        return fleet.runs("/lookup/rollout").stream()
                .filter(run -> run.host() >= FIRST_NEW)
                .count();
    }

    @Test
    void shouldSendNothingToOldTargetsWhenTheRolloutIsCompleted() throws IOException, InterruptedException {
        try (MeshFleet fleet = fleet(false)) {
            order(fleet);
            send(fleet);
            MeshFleet.await(() -> isIn(fleet, RolloutState.COMPLETED));
            int before = fleet.runs().size();
            Thread.sleep(2_000);
            stopSending();
            List<MeshFleet.Run> last = fleet.runs().subList(before, fleet.runs().size());
            assertThat(last).isNotEmpty();
            assertThat(last.stream().allMatch(run -> run.host() >= FIRST_NEW)).isTrue();
        }
    }

    /** The next judge has nothing but the reports of the entries and the status. */
    @Test
    void shouldCompleteWhenTheJudgeIsLostMeanwhile() throws IOException, InterruptedException {
        try (MeshFleet fleet = fleet(false)) {
            order(fleet);
            send(fleet);
            Thread.sleep(3_000);
            fleet.killNode(FLEET_SIZE - 1);
            MeshFleet.await(() -> isIn(fleet, RolloutState.COMPLETED));
            stopSending();
        }
    }

    @Test
    void shouldRollBackWithinTheExposureWhenTheNewVersionFails() throws IOException, InterruptedException {
        try (MeshFleet fleet = fleet(true)) {
            order(fleet);
            send(fleet);
            MeshFleet.await(() -> isIn(fleet, RolloutState.ROLLED_BACK));
            long exposed = newRuns(fleet);
            assertThat((double) exposed).isAtMost(SHARE * requests.get() + SLACK);
            Thread.sleep(2_000);
            stopSending();
            assertThat(newRuns(fleet)).isEqualTo(exposed);
        }
    }
}
