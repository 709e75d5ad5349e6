package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class SlotQueueTest {
    private static final Duration LONG = Duration.ofSeconds(10);

    private final AtomicLong clock = new AtomicLong();
    private final SlotQueue queue = SlotQueue.of(clock::get);

    @Test
    void shouldRefuseWhenClosed() {
        assertThat(reason(queue.request(SlotDemand.of(0, LONG)))).isEqualTo(SlotDecision.Reason.CLOSED);
    }

    @Test
    void shouldGrantNoMoreThanItsSlots() {
        queue.open(2);
        queue.request(SlotDemand.of(0, LONG));
        queue.request(SlotDemand.of(0, LONG));
        SlotTicket third = queue.request(SlotDemand.of(0, LONG));
        assertThat(third.decision().isPresent()).isFalse();
        assertThat(queue.state().running()).isEqualTo(2);
    }

    @Test
    void shouldGrantByRankThenByArrivalWhenASlotIsGivenBack() {
        queue.open(1);
        SlotTicket running = queue.request(SlotDemand.of(0, LONG));
        SlotTicket early = queue.request(SlotDemand.of(2, LONG));
        SlotTicket urgent = queue.request(SlotDemand.of(1, LONG));
        queue.release(running);
        assertThat(isGranted(urgent)).isTrue();
        assertThat(early.decision().isPresent()).isFalse();
        queue.release(urgent);
        assertThat(isGranted(early)).isTrue();
    }

    @Test
    void shouldRefuseAtOnceWhenTheWaitWouldBeTooLong() {
        queue.open(1);
        queue.request(SlotDemand.of(0, LONG));
        SlotTicket refused = queue.request(SlotDemand.of(0, Duration.ofMillis(10)));
        assertThat(reason(refused)).isEqualTo(SlotDecision.Reason.FULL);
        SlotDecision.Refused decision =
                (SlotDecision.Refused) refused.decision().get();
        assertThat(decision.expectedWait()).isGreaterThan(Duration.ofMillis(10));
    }

    @Test
    void shouldNotGrantAWithdrawnRequest() {
        queue.open(1);
        SlotTicket running = queue.request(SlotDemand.of(0, LONG));
        SlotTicket waiting = queue.request(SlotDemand.of(0, LONG));
        queue.withdraw(waiting);
        queue.release(running);
        assertThat(reason(waiting)).isEqualTo(SlotDecision.Reason.WITHDRAWN);
        assertThat(queue.state().running()).isEqualTo(0);
    }

    @Test
    void shouldRefuseWhatWaitsWhenItCloses() {
        queue.open(1);
        queue.request(SlotDemand.of(0, LONG));
        SlotTicket waiting = queue.request(SlotDemand.of(0, LONG));
        queue.close();
        assertThat(reason(waiting)).isEqualTo(SlotDecision.Reason.CLOSED);
        assertThat(queue.state().running()).isEqualTo(1);
    }

    @Test
    void shouldCountASlotGivenBackTwiceOnce() {
        queue.open(1);
        SlotTicket running = queue.request(SlotDemand.of(0, LONG));
        queue.release(running);
        queue.release(running);
        assertThat(queue.state().running()).isEqualTo(0);
    }

    @Test
    void shouldKeepItsInvariantsInAnyOrderOfEvents() {
        for (long seed = 0; seed < 500; seed++) {
            walk(new SplittableRandom(seed), seed);
        }
    }

    private void walk(SplittableRandom random, long seed) {
        SlotQueue walked = SlotQueue.of(clock::get);
        Deque<SlotTicket> tickets = new ArrayDeque<>();
        int slots = 0;
        for (int step = 0; step < 200; step++) {
            clock.addAndGet(random.nextLong(50_000_000));
            switch (random.nextInt(6)) {
                case 0 -> {
                    slots = 1 + random.nextInt(4);
                    walked.open(slots);
                }
                case 1 -> walked.close();
                case 2, 3 -> tickets.add(walked.request(SlotDemand.of(random.nextInt(3), Duration.ofMillis(random.nextInt(2_000)))));
                case 4 -> {
                    if (!tickets.isEmpty()) {
                        walked.release(tickets.poll());
                    }
                }
                default -> {
                    if (!tickets.isEmpty()) {
                        walked.withdraw(tickets.peekLast());
                    }
                }
            }
            long held = tickets.stream().filter(SlotQueueTest::isGranted).count();
            assertThat((long) walked.state().running()).isAtLeast(held);
            boolean isIdle = walked.state().isOpen() && walked.state().isSlotFree();
            if (isIdle && walked.state().waiting() > 0) {
                throw new AssertionError("a request waits beside a free slot, seed " + seed + ", step " + step);
            }
        }
    }

    private static boolean isGranted(SlotTicket ticket) {
        return ticket.decision().filter(SlotDecision.Granted.class::isInstance).isPresent();
    }

    private static SlotDecision.Reason reason(SlotTicket ticket) {
        return ((SlotDecision.Refused) ticket.decision().orElseThrow()).reason();
    }
}
