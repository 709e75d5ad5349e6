package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class SlotQueueTest {
    private static final Duration LONG_WAIT = Duration.ofSeconds(10);
    private static final Duration RUN = Duration.ofMillis(100);

    private final AtomicLong clock = new AtomicLong();
    private final SlotQueue queue = SlotQueue.of(clock::get);

    @Test
    void shouldRefuseWhenClosed() {
        assertThat(reason(queue.request(SlotRequest.of(0, LONG_WAIT)))).isEqualTo(SlotDecision.Reason.CLOSED);
    }

    @Test
    void shouldGrantNoMoreThanItsSlotsWhenMoreAreRequested() {
        queue.open(2);
        queue.request(SlotRequest.of(0, LONG_WAIT));
        queue.request(SlotRequest.of(0, LONG_WAIT));
        SlotTicket third = queue.request(SlotRequest.of(0, LONG_WAIT));
        assertThat(third.decision().isPresent()).isFalse();
        assertThat(queue.state().running()).isEqualTo(2);
    }

    @Test
    void shouldGrantByRankThenByArrivalWhenASlotIsReleased() {
        queue.open(1);
        SlotTicket running = queue.request(SlotRequest.of(0, LONG_WAIT));
        SlotTicket early = queue.request(SlotRequest.of(2, LONG_WAIT));
        SlotTicket urgent = queue.request(SlotRequest.of(1, LONG_WAIT));
        queue.release(running);
        assertThat(isGranted(urgent)).isTrue();
        assertThat(early.decision().isPresent()).isFalse();
        queue.release(urgent);
        assertThat(isGranted(early)).isTrue();
    }

    @Test
    void shouldRefuseImmediatelyWhenTheExpectedWaitIsTooLong() {
        queue.open(1);
        queue.request(SlotRequest.of(0, LONG_WAIT));
        SlotTicket refused = queue.request(SlotRequest.of(0, Duration.ofMillis(10)));
        assertThat(reason(refused)).isEqualTo(SlotDecision.Reason.FULL);
        SlotDecision.Refused decision =
                (SlotDecision.Refused) refused.decision().get();
        assertThat(decision.expectedWait()).isGreaterThan(Duration.ofMillis(10));
    }

    /**
     * The load: a target whose health is good and that sheds everything. It is idle, so that all entries send to it, and each
     * request that it sheds uses up a retry.
     */
    @Test
    void shouldSendAFewRequestsOnlyToATargetThatShedsEverything() {
        queue.open(6);
        int sent = 0;
        for (int millisecond = 0; millisecond < 10_000; millisecond += 5) {
            clock.set(Duration.ofMillis(millisecond).toNanos());
            SlotTicket ticket = queue.request(SlotRequest.of(0, LONG_WAIT));
            if (isGranted(ticket)) {
                sent++;
                queue.recordShed();
                queue.release(ticket);
            } else {
                assertThat(reason(ticket)).isEqualTo(SlotDecision.Reason.SHEDDING);
                assertThat(queue.state().slots()).isEqualTo(0);
            }
        }
        assertThat(sent).isAtMost(22);
        clock.addAndGet(Duration.ofSeconds(1).toNanos());
        SlotTicket probe = queue.request(SlotRequest.of(0, LONG_WAIT));
        assertThat(isGranted(probe)).isTrue();
        assertThat(isGranted(queue.request(SlotRequest.of(0, LONG_WAIT)))).isFalse();
        queue.recordRun();
        queue.release(probe);
        assertThat(queue.state().slots()).isEqualTo(6);
    }

    /** Taking slots from such a target loses the requests that it would run, which no other target has room for. */
    @Test
    void shouldKeepTheSlotsOfATargetThatShedsEverySecondRequest() {
        queue.open(6);
        for (int request = 0; request < 100; request++) {
            SlotTicket ticket = queue.request(SlotRequest.of(0, LONG_WAIT));
            assertThat(isGranted(ticket)).isTrue();
            if (request % 2 == 0) {
                queue.recordShed();
            } else {
                queue.recordRun();
            }
            queue.release(ticket);
        }
        assertThat(queue.state().slots()).isEqualTo(6);
    }

    @Test
    void shouldRefuseAWaitingRequestWhenOthersOvertakeItAndLeaveItNoTime() {
        queue.open(1);
        queue.request(SlotRequest.of(0, LONG_WAIT));
        SlotTicket waiting = queue.request(new SlotRequest(1, RUN, Duration.ZERO, Duration.ofSeconds(1)));
        clock.addAndGet(Duration.ofMillis(500).toNanos());
        assertThat(waiting.decision().isPresent()).isFalse();
        for (int arrival = 0; arrival < 3; arrival++) {
            queue.request(new SlotRequest(1, RUN, Duration.ofSeconds(5), LONG_WAIT));
        }
        assertThat(reason(waiting)).isEqualTo(SlotDecision.Reason.OVERTAKEN);
        assertThat(queue.state().waiting()).isEqualTo(3);
    }

    /** At twice the capacity, most refusals must come early, not only when the maximum wait has almost passed. */
    @Test
    void shouldRefuseEarlyWhenTheLoadIsTwiceTheCapacity() {
        queue.open(1);
        Duration maximumWait = Duration.ofSeconds(2);
        Deque<SlotTicket> waiting = new ArrayDeque<>();
        SlotTicket held = queue.request(SlotRequest.of(1, LONG_WAIT));
        int refused = 0;
        int late = 0;
        for (long now = 0; now < 60_000; now += 50) {
            clock.set(Duration.ofMillis(now).toNanos());
            waiting.add(queue.request(new SlotRequest(1, RUN, Duration.ofMillis(400), maximumWait)));
            if (now % 100 == 0) {
                queue.release(held);
                held = waiting.stream()
                        .filter(SlotQueueTest::isGranted)
                        .findFirst()
                        .orElseThrow();
            }
            for (SlotTicket ticket : waiting) {
                if (ticket.decision().isPresent() && !isGranted(ticket)) {
                    refused++;
                    late += ticket.remainingWaitAt(clock.get()).compareTo(maximumWait.dividedBy(4)) < 0 ? 1 : 0;
                }
            }
            waiting.removeIf(ticket -> ticket.decision().isPresent());
        }
        assertThat(refused).isAtLeast(500);
        assertThat((double) late / refused).isLessThan(0.1);
    }

    @Test
    void shouldNotGrantASlotWhenTheRequestWasWithdrawn() {
        queue.open(1);
        SlotTicket running = queue.request(SlotRequest.of(0, LONG_WAIT));
        SlotTicket waiting = queue.request(SlotRequest.of(0, LONG_WAIT));
        queue.withdraw(waiting);
        queue.release(running);
        assertThat(reason(waiting)).isEqualTo(SlotDecision.Reason.WITHDRAWN);
        assertThat(queue.state().running()).isEqualTo(0);
    }

    @Test
    void shouldRefuseWaitingRequestsWhenItCloses() {
        queue.open(1);
        queue.request(SlotRequest.of(0, LONG_WAIT));
        SlotTicket waiting = queue.request(SlotRequest.of(0, LONG_WAIT));
        queue.close();
        assertThat(reason(waiting)).isEqualTo(SlotDecision.Reason.CLOSED);
        assertThat(queue.state().running()).isEqualTo(1);
    }

    @Test
    void shouldFreeASlotOnceWhenItIsReleasedTwice() {
        queue.open(1);
        SlotTicket running = queue.request(SlotRequest.of(0, LONG_WAIT));
        queue.release(running);
        queue.release(running);
        assertThat(queue.state().running()).isEqualTo(0);
    }

    @Test
    void shouldServeRequestsInTimeBeforeLateOnesWhenRanksDiffer() {
        queue.open(1);
        SlotTicket running = queue.request(SlotRequest.of(0, LONG_WAIT));
        SlotTicket late = queue.request(slotRequest(0, 50));
        SlotTicket inTime = queue.request(slotRequest(2, 500));
        queue.release(running);
        assertThat(isGranted(inTime)).isTrue();
        assertThat(late.decision().isPresent()).isFalse();
    }

    @Test
    void shouldServeTheEarliestSoftDeadlineFirstWhenRanksAreEqual() {
        queue.open(1);
        SlotTicket running = queue.request(SlotRequest.of(0, LONG_WAIT));
        SlotTicket later = queue.request(slotRequest(1, 900));
        SlotTicket earlier = queue.request(slotRequest(1, 300));
        queue.release(running);
        assertThat(isGranted(earlier)).isTrue();
        assertThat(later.decision().isPresent()).isFalse();
    }

    /** At 1.2 times the capacity, serving in order of arrival would soon make every response late. */
    @Test
    void shouldServeMostInTimeWhenTheLoadStaysAboveTheCapacity() {
        queue.open(1);
        Deque<SlotTicket> waiting = new ArrayDeque<>();
        Duration run = Duration.ofMillis(100);
        long next = 0;
        int inTime = 0;
        int requested = 0;
        SlotTicket held = queue.request(SlotRequest.of(1, LONG_WAIT));
        for (long now = 0; now < 60_000; now += 10) {
            clock.set(Duration.ofMillis(now).toNanos());
            if (now >= next) {
                next += 83;
                requested++;
                waiting.add(queue.request(new SlotRequest(1, run, Duration.ofMillis(400), Duration.ofSeconds(2))));
            }
            if (now % 100 == 0) {
                queue.release(held);
                for (SlotTicket ticket : waiting) {
                    if (isGranted(ticket)) {
                        inTime += ticket.waited().toMillis() <= 300 ? 1 : 0;
                        held = ticket;
                    }
                }
                waiting.removeIf(ticket -> ticket.decision().isPresent());
                waiting.removeIf(ticket -> isOverdue(ticket));
            }
        }
        assertThat((double) inTime / requested).isAtLeast(0.75);
    }

    @Test
    void shouldGrantTheMostUrgentFirstAtTheRateOfTheTarget() {
        queue.open(9);
        queue.limitRate(OptionalDouble.of(2));
        SlotTicket early = queue.request(SlotRequest.of(2, LONG_WAIT));
        SlotTicket urgent = queue.request(SlotRequest.of(1, LONG_WAIT));
        assertThat(early.decision().isPresent() || urgent.decision().isPresent())
                .isFalse();
        clock.addAndGet(Duration.ofMillis(500).toNanos());
        queue.grantDue();
        assertThat(isGranted(urgent)).isTrue();
        assertThat(early.decision().isPresent()).isFalse();
        clock.addAndGet(Duration.ofMillis(500).toNanos());
        queue.grantDue();
        assertThat(isGranted(early)).isTrue();
    }

    @Test
    void shouldRefuseTheLeastUrgentImmediatelyWhenTheRateLeavesItNoTime() {
        queue.open(9);
        queue.limitRate(OptionalDouble.of(2));
        SlotTicket early = queue.request(SlotRequest.of(2, Duration.ofMillis(600)));
        SlotTicket urgent = queue.request(SlotRequest.of(1, Duration.ofMillis(600)));
        assertThat(reason(early)).isEqualTo(SlotDecision.Reason.RATE_LIMITED);
        assertThat(urgent.decision().isPresent()).isFalse();
    }

    @Test
    void shouldGrantEveryWaitingRequestWhenTheLimitEnds() {
        queue.open(9);
        queue.limitRate(OptionalDouble.of(0));
        SlotTicket first = queue.request(SlotRequest.of(1, LONG_WAIT));
        SlotTicket second = queue.request(SlotRequest.of(1, LONG_WAIT));
        queue.limitRate(OptionalDouble.empty());
        assertThat(isGranted(first) && isGranted(second)).isTrue();
    }

    private boolean isOverdue(SlotTicket ticket) {
        boolean isOverdue = clock.get() - ticket.softDeadlineNanoseconds()
                > Duration.ofMillis(1_600).toNanos();
        if (isOverdue) {
            queue.withdraw(ticket);
        }
        return isOverdue;
    }

    private static SlotRequest slotRequest(int rank, long softDeadlineMilliseconds) {
        return new SlotRequest(rank, Duration.ofMillis(100), Duration.ofMillis(softDeadlineMilliseconds), LONG_WAIT);
    }

    @Test
    void shouldKeepItsInvariantsWhenEventsComeInAnyOrder() {
        for (long seed = 0; seed < 500; seed++) {
            runRandomOperations(new SplittableRandom(seed), seed);
        }
    }

    private void runRandomOperations(SplittableRandom random, long seed) {
        SlotQueue tested = SlotQueue.of(clock::get);
        Deque<SlotTicket> tickets = new ArrayDeque<>();
        int slots = 0;
        for (int step = 0; step < 200; step++) {
            clock.addAndGet(random.nextLong(50_000_000));
            switch (random.nextInt(6)) {
                case 0 -> {
                    slots = 1 + random.nextInt(4);
                    tested.open(slots);
                }
                case 1 -> tested.close();
                case 2, 3 ->
                    tickets.add(tested.request(
                            SlotRequest.of(random.nextInt(3), Duration.ofMillis(random.nextInt(2_000)))));
                case 4 -> {
                    if (!tickets.isEmpty()) {
                        tested.release(tickets.poll());
                    }
                }
                default -> {
                    if (!tickets.isEmpty()) {
                        tested.withdraw(tickets.peekLast());
                    }
                }
            }
            long held = tickets.stream().filter(SlotQueueTest::isGranted).count();
            assertThat((long) tested.state().running()).isAtLeast(held);
            boolean isIdle = tested.state().isOpen() && tested.state().isSlotFree();
            if (isIdle && tested.state().waiting() > 0) {
                throw new AssertionError("a request waits although a slot is free, seed " + seed + ", step " + step);
            }
        }
    }

    /** Guards against runs for removed keys, and against their grants counting as runs of no length at all. */
    @Test
    void shouldRefuseARequestWhoseKeyIsRemovedBeforeItGetsASlot() {
        AtomicBoolean isRemoved = new AtomicBoolean();
        queue.open(1);
        SlotTicket running = queue.request(SlotRequest.of(0, LONG_WAIT), isRemoved::get);
        SlotTicket first = queue.request(SlotRequest.of(0, LONG_WAIT), isRemoved::get);
        SlotTicket other = queue.request(SlotRequest.of(1, LONG_WAIT));
        isRemoved.set(true);
        assertThat(reason(queue.request(SlotRequest.of(0, LONG_WAIT), isRemoved::get)))
                .isEqualTo(SlotDecision.Reason.KEY_REMOVED);
        queue.refuseRemovedKeys();
        assertThat(reason(first)).isEqualTo(SlotDecision.Reason.KEY_REMOVED);
        assertThat(isGranted(running)).isTrue();
        double average = queue.state().averageRunNanoseconds();
        assertThat(other.decision().isPresent()).isFalse();
        isRemoved.set(false);
        SlotTicket second = queue.request(SlotRequest.of(0, LONG_WAIT), isRemoved::get);
        isRemoved.set(true);
        clock.addAndGet((long) average);
        queue.release(running);
        assertThat(reason(second)).isEqualTo(SlotDecision.Reason.KEY_REMOVED);
        assertThat(isGranted(other)).isTrue();
        assertThat(queue.state().averageRunNanoseconds()).isWithin(1).of(average);
    }

    private static boolean isGranted(SlotTicket ticket) {
        return ticket.decision().filter(SlotDecision.Granted.class::isInstance).isPresent();
    }

    private static SlotDecision.Reason reason(SlotTicket ticket) {
        return ((SlotDecision.Refused) ticket.decision().orElseThrow()).reason();
    }
}
