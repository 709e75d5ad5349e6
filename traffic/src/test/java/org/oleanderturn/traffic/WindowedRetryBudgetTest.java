package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class WindowedRetryBudgetTest {
    private static final long WINDOW = Duration.ofSeconds(10).toNanos();
    private static final int SEEDS = 50;
    private static final int FLEET_SIZE = 13;
    private static final double FLEET_CONSTANT = 60;

    private final AtomicLong clock = new AtomicLong();
    private double part = 4;
    private final WindowedRetryBudget budget = WindowedRetryBudget.of(0.2, () -> part, WINDOW, clock.get(), clock::get);

    @Test
    void shouldGrantNothingWhenTheNodeHasJustStarted() {
        assertThat(budget.tryWithdraw()).isFalse();
    }

    @Test
    void shouldGrantTheWholePartOncePerWindowWhenThereWereNoRequests() {
        clock.addAndGet(WINDOW - 1);
        assertThat(granted()).isEqualTo(0);
        clock.addAndGet(1);
        assertThat(granted()).isEqualTo(4);
        clock.addAndGet(WINDOW);
        assertThat(granted()).isEqualTo(0);
        clock.addAndGet(1);
        assertThat(granted()).isEqualTo(4);
    }

    @Test
    void shouldAddTheRatioWhenThereWereRequestsInTheWindow() {
        for (int request = 0; request < 10; request++) {
            budget.recordRequest();
        }
        assertThat(granted()).isEqualTo(2);
        clock.addAndGet(WINDOW);
        for (int request = 0; request < 10; request++) {
            budget.recordRequest();
        }
        assertThat(granted()).isEqualTo(6);
    }

    @Test
    void shouldLeaveRoomForCallsOfRunsThatAreRetriesThemselves() {
        for (int request = 0; request < 100; request++) {
            budget.recordRequest();
            budget.recordInduced(0.125);
        }
        assertThat(granted()).isEqualTo(7);
        clock.addAndGet(WINDOW + 1);
        for (int request = 0; request < 100; request++) {
            budget.recordRequest();
        }
        assertThat(granted()).isEqualTo(24);
    }

    /** Calls of runs that were retries count at the callee; granting the constant beside them broke the limit of the fleet. */
    @Test
    void shouldCountCallsOfRetriedRunsAgainstTheConstantWhenTheyExceedTheRatio() {
        clock.addAndGet(WINDOW);
        for (int request = 0; request < 100; request++) {
            budget.recordRequest();
            budget.recordInduced(0.22);
        }
        assertThat(budget.usage().limit()).isWithin(1e-6).of(2);
        assertThat(granted()).isEqualTo(2);
        for (int request = 0; request < 100; request++) {
            budget.recordRequest();
            budget.recordInduced(0.25);
        }
        assertThat(budget.tryWithdraw()).isFalse();
    }

    @Test
    void shouldGrantAgainWhenRetriesHaveLeftTheWindow() {
        budget.recordRequest();
        clock.addAndGet(WINDOW);
        while (budget.tryWithdraw()) {
            clock.addAndGet(1);
        }
        clock.addAndGet(WINDOW + 1);
        assertThat(budget.tryWithdraw()).isTrue();
    }

    @Test
    void shouldGrantTheRatioOnlyWhenTheNodeKnowsNoOther() {
        part = 0;
        clock.addAndGet(10 * WINDOW);
        assertThat(granted()).isEqualTo(0);
    }

    /** Nodes start again at random, some together, and want as many retries as they are granted. */
    @Test
    void shouldKeepTheConstantOfTheFleetInEachWindowWhenNodesStartAgain() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            List<WindowedRetryBudget> nodes = new ArrayList<>();
            for (int node = 0; node < FLEET_SIZE; node++) {
                nodes.add(startedNode());
            }
            Deque<Long> granted = new ArrayDeque<>();
            for (int step = 0; step < 2_000; step++) {
                clock.addAndGet(Duration.ofMillis(50).toNanos());
                boolean isLoss = random.nextInt(100) == 0;
                for (int node = 0; node < FLEET_SIZE; node++) {
                    boolean isDemand = step / 100 % 3 != 0;
                    while (isDemand && nodes.get(node).tryWithdraw()) {
                        granted.addLast(clock.get());
                    }
                    if (isLoss || random.nextInt(200) == 0) {
                        nodes.set(node, startedNode());
                    }
                }
                while (!granted.isEmpty() && granted.peekFirst() < clock.get() - WINDOW) {
                    granted.removeFirst();
                }
                assertWithMessage("seed %s step %s", seed, step)
                        .that((double) granted.size())
                        .isAtMost(FLEET_CONSTANT);
            }
        }
    }

    private WindowedRetryBudget startedNode() {
        return WindowedRetryBudget.of(0.2, () -> FLEET_CONSTANT / FLEET_SIZE, WINDOW, clock.get(), clock::get);
    }

    private int granted() {
        int granted = 0;
        while (budget.tryWithdraw()) {
            granted++;
        }
        return granted;
    }
}
