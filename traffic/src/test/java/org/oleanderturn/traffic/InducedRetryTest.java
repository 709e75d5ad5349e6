package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * The load: targets of a service shed half of what they get, a retry goes to one that does not, and each run makes two calls to
 * another service. More of the runs are then retries than of the requests, and so are more of the calls than the limit allows.
 */
final class InducedRetryTest {
    private static final long WINDOW = Duration.ofSeconds(10).toNanos();
    private static final double PERMITTED_RATIO = 0.2;
    private static final double USED_RATIO = 0.17;
    private static final int NODES = 13;
    private static final double CONSTANT = 60;
    private static final double SHED_SHARE = 0.55;
    private static final int CALLS_OF_A_RUN = 2;

    private final AtomicLong clock = new AtomicLong();
    private final SplittableRandom random = new SplittableRandom(1);

    /** The retry budgets of an entry for the first service, and of a node of that service for the one that its target calls. */
    private final class Node {
        private final WindowedRetryBudget own = budget();
        private final WindowedRetryBudget called = budget();
        private final InducedRetries induced = InducedRetries.of(() -> List.of(called), WINDOW, clock::get);

        private WindowedRetryBudget budget() {
            return WindowedRetryBudget.of(USED_RATIO, () -> CONSTANT / NODES, WINDOW, clock.get(), clock::get);
        }
    }

    @Test
    void shouldKeepCallsOfRetriedRunsWithinTheLimitOfTheServiceThatTheyCall() {
        List<Node> nodes = new ArrayList<>();
        for (int node = 0; node < NODES; node++) {
            nodes.add(new Node());
        }
        Deque<Long> calls = new ArrayDeque<>();
        Deque<Long> repeats = new ArrayDeque<>();
        for (int step = 0; step < 60_000; step++) {
            clock.addAndGet(Duration.ofMillis(1).toNanos());
            Node entry = nodes.get(random.nextInt(NODES));
            Node guard = nodes.get(random.nextInt(NODES));
            entry.own.recordRequest();
            boolean isShed = random.nextDouble() < SHED_SHARE;
            boolean isRetried = isShed && entry.own.tryWithdraw();
            if ((isShed && !isRetried) || !guard.induced.tryRecordRun(isRetried)) {
                continue;
            }
            for (int call = 0; call < CALLS_OF_A_RUN; call++) {
                guard.called.recordRequest();
                calls.addLast(clock.get());
                if (isRetried) {
                    repeats.addLast(clock.get());
                }
            }
            forget(calls);
            forget(repeats);
            assertWithMessage("at %s ms", step)
                    .that((double) repeats.size())
                    .isAtMost(PERMITTED_RATIO * calls.size() + CONSTANT);
        }
    }

    /** Of runs that have seen room before any of them began, only as many may begin as there is room for. */
    @Test
    void shouldRefuseARunWhenOthersHaveUsedTheRoomThatItSaw() {
        Node node = new Node();
        clock.addAndGet(WINDOW);
        for (int count = 0; count < 2; count++) {
            assertThat(node.induced.tryRecordRun(false)).isTrue();
            node.called.recordRequest();
            node.called.recordRequest();
        }
        assertThat(node.induced.hasRoom()).isTrue();
        long begun = IntStream.range(0, 30)
                .filter(_ -> node.induced.tryRecordRun(true))
                .count();
        // The limit is 5.3 calls, and the charges of the first four runs are 2, 1.3, 1 and 0.8.
        assertThat(begun).isEqualTo(4);
    }

    /** Runs of long ago would make the calls of a present one look like none. */
    @Test
    void shouldForgetRunsBeforeTheWindow() {
        Node node = new Node();
        for (int count = 0; count < 1_000; count++) {
            assertThat(node.induced.tryRecordRun(false)).isTrue();
        }
        clock.addAndGet(2 * WINDOW);
        for (int count = 0; count < 20; count++) {
            node.called.recordRequest();
        }
        assertThat(node.induced.hasRoom()).isFalse();
    }

    private void forget(Deque<Long> times) {
        while (times.peekFirst() != null && times.peekFirst() < clock.get() - WINDOW) {
            times.removeFirst();
        }
    }
}
