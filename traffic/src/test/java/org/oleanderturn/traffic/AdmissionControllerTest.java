package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.oleanderturn.model.RequestKind;

final class AdmissionControllerTest {
    private static final AdmissionLimits LIMITS = AdmissionLimits.of(4, 6, 50).withFixedConcurrency();
    private static final Duration SERVICE_TIME = Duration.ofMillis(10);
    private final FakeClock clock = new FakeClock();
    private final AdmissionController admission = AdmissionController.of(LIMITS, clock, new Random(3));

    private AdmissionRequest lookup() {
        return AdmissionRequest.of(RequestKind.LOOKUP, clock.after(Duration.ofSeconds(1)));
    }

    private AdmissionRequest download() {
        return AdmissionRequest.of(RequestKind.DOWNLOAD, clock.after(Duration.ofSeconds(60)));
    }

    private AdmissionRequest exclusive(Duration timeout) {
        return AdmissionRequest.exclusive(RequestKind.LOOKUP, clock.after(timeout));
    }

    private Permit admitted(AdmissionRequest request) {
        return ((AdmissionDecision.Admitted) admission.submit(request)).permit();
    }

    private AdmissionTicket queued(AdmissionRequest request) {
        return ((AdmissionDecision.Queued) admission.submit(request)).ticket();
    }

    private static Permit permit(AdmissionTicket ticket) {
        return ((AdmissionDecision.Admitted) ticket.decision().getNow(null)).permit();
    }

    private static NotRunReason reason(AdmissionDecision decision) {
        return ((AdmissionDecision.Refused) decision).reason();
    }

    private List<Permit> fill() {
        return IntStream.range(0, 4).mapToObj(slot -> admitted(lookup())).toList();
    }

    /** What happens while a request is queued. */
    enum Fault {
        DRAIN(NotRunReason.DRAINING),
        TARGET_DOWN(NotRunReason.TARGET_DOWN),
        DEADLINE(NotRunReason.DEADLINE),
        CALLER_GONE(NotRunReason.CANCELLED);

        private final NotRunReason expected;

        Fault(NotRunReason expected) {
            this.expected = expected;
        }
    }

    static Stream<Arguments> cases() {
        return Arrays.stream(RequestKind.values())
                .flatMap(kind -> Arrays.stream(Fault.values()).map(fault -> Arguments.of(kind, fault)));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void shouldRefuseAQueuedRequestOnceAndImmediatelyWhenAFaultOccurs(RequestKind kind, Fault fault) {
        String invariant = "refused immediately as not run; removed from the queue; no permit afterwards";
        FaultMatrixReport.run("admission " + kind, "QUEUED", fault.name(), invariant, () -> {
            List<Permit> running = fill();
            AdmissionTicket ticket = queued(AdmissionRequest.of(kind, clock.after(Duration.ofMillis(100))));
            switch (fault) {
                case DRAIN, TARGET_DOWN -> admission.close(fault.expected);
                case DEADLINE -> {
                    clock.advance(Duration.ofMillis(100));
                    admission.expire();
                }
                case CALLER_GONE -> ticket.cancel();
            }
            AdmissionDecision.Settled decision = ticket.decision().getNow(null);
            assertThat(reason(decision)).isEqualTo(fault.expected);
            running.forEach(permit -> permit.release(RunOutcome.SUCCEEDED));
            ticket.cancel();
            assertThat(ticket.decision().getNow(null)).isSameInstanceAs(decision);
            assertThat(admission.inFlight()).isEqualTo(0);
            assertThat(admission.queued()).isEqualTo(0);
            boolean isClosed = fault == Fault.DRAIN || fault == Fault.TARGET_DOWN;
            assertThat(admission.submit(lookup()) instanceof AdmissionDecision.Refused)
                    .isEqualTo(isClosed);
        });
    }

    @Test
    void shouldKeepReservedSlotsForShortRequestsWhenDownloadsTakeTheRest() {
        admitted(download());
        admitted(download());
        AdmissionTicket third = queued(download());
        Permit lookup = admitted(lookup());
        admitted(lookup());
        lookup.release(RunOutcome.SUCCEEDED);
        assertThat(third.decision().isDone()).isFalse();
    }

    @Test
    void shouldAdmitAShortRequestFirstWhenADownloadWasQueuedEarlier() {
        List<Permit> running = fill();
        AdmissionTicket download = queued(download());
        AdmissionTicket lookup = queued(lookup());
        running.getFirst().release(RunOutcome.SUCCEEDED);
        assertThat(lookup.decision().isDone()).isTrue();
        assertThat(download.decision().isDone()).isFalse();
    }

    @Test
    void shouldAdmitADownloadWithinNineAdmissionsWhenShortRequestsKeepArriving() {
        List<Permit> running = new ArrayList<>(fill());
        AdmissionTicket download = queued(download());
        int admissions = 0;
        while (!download.decision().isDone()) {
            AdmissionTicket lookup = queued(lookup());
            running.removeFirst().release(RunOutcome.SUCCEEDED);
            if (lookup.decision().isDone()) {
                running.add(permit(lookup));
            }
            assertThat(++admissions).isAtMost(9);
        }
    }

    @Test
    void shouldRefuseImmediatelyWhenTheExpectedWaitExceedsTheDeadline() {
        List<Permit> running = fill();
        clock.advance(SERVICE_TIME.multipliedBy(10));
        running.getFirst().release(RunOutcome.SUCCEEDED);
        admitted(lookup());
        AdmissionDecision decision =
                admission.submit(AdmissionRequest.of(RequestKind.LOOKUP, clock.after(SERVICE_TIME)));
        assertThat(reason(decision)).isEqualTo(NotRunReason.DEADLINE);
        assertThat(((AdmissionDecision.Refused) decision).retryAfter()).isGreaterThan(Duration.ZERO);
    }

    @Test
    void shouldSpreadRetryAfterTimesWhenManyRequestsAreRefused() {
        fill();
        IntStream.range(0, 6).forEach(number -> queued(lookup()));
        long distinct = IntStream.range(0, 50)
                .mapToObj(caller -> ((AdmissionDecision.Refused) admission.submit(lookup())).retryAfter())
                .distinct()
                .count();
        assertThat(distinct).isGreaterThan(40L);
    }

    @Test
    void shouldAdmitASharedRequestBetweenExclusiveOnesWhenBothAreQueued() {
        Permit running = admitted(lookup());
        AdmissionTicket first = queued(exclusive(Duration.ofSeconds(1)));
        AdmissionTicket second = queued(exclusive(Duration.ofSeconds(1)));
        AdmissionTicket ordinary = queued(lookup());
        running.release(RunOutcome.SUCCEEDED);
        assertThat(admission.inFlight()).isEqualTo(1);
        assertThat(ordinary.decision().isDone()).isFalse();
        permit(first).release(RunOutcome.SUCCEEDED);
        assertThat(second.decision().isDone()).isFalse();
        permit(ordinary).release(RunOutcome.SUCCEEDED);
        assertThat(second.decision().isDone()).isTrue();
    }

    @Test
    void shouldHoldBackOnlyDownloadsWhenAnExclusiveRequestWaitsForADownload() {
        Permit running = admitted(download());
        AdmissionTicket exclusive = queued(exclusive(Duration.ofSeconds(30)));
        Permit lookup = admitted(lookup());
        AdmissionTicket download = queued(download());
        running.release(RunOutcome.SUCCEEDED);
        assertThat(exclusive.decision().isDone()).isFalse();
        lookup.release(RunOutcome.SUCCEEDED);
        assertThat(exclusive.decision().isDone()).isTrue();
        assertThat(download.decision().isDone()).isFalse();
    }

    @Test
    void shouldRefuseAnExclusiveRequestAndAdmitOthersWhenItHasWaitedTooLong() {
        admitted(download());
        AdmissionTicket exclusive = queued(exclusive(Duration.ofSeconds(30)));
        AdmissionTicket download = queued(download());
        clock.advance(Duration.ofSeconds(2));
        admission.expire();
        assertThat(reason(exclusive.decision().getNow(null))).isEqualTo(NotRunReason.SUSPECT_WAITING);
        assertThat(download.decision().isDone()).isTrue();
    }

    @Test
    void shouldEndExclusivityWhenTheRequestRespondsOrRunsTooLong() {
        Permit first = admitted(exclusive(Duration.ofSeconds(30)));
        AdmissionTicket lookup = queued(lookup());
        first.endExclusivity();
        permit(lookup).release(RunOutcome.SUCCEEDED);
        first.release(RunOutcome.SUCCEEDED);
        Permit second = admitted(exclusive(Duration.ofSeconds(30)));
        AdmissionTicket download = queued(download());
        clock.advance(Duration.ofSeconds(2));
        admission.expire();
        assertThat(download.decision().isDone()).isTrue();
        second.release(RunOutcome.SUCCEEDED);
        assertThat(admission.inFlight()).isEqualTo(1);
    }

    @Test
    void shouldLowerAndThenRaiseConcurrencyWhenTheTargetShedsForAWhile() {
        admission.updateLimits(AdmissionLimits.of(4, 6, 0));
        for (int round = 0; round < 20; round++) {
            clock.advance(Duration.ofMillis(60));
            admitted(lookup()).release(RunOutcome.SHED);
        }
        assertThat(admission.concurrencyLimit()).isEqualTo(1);
        for (int round = 0; round < 100; round++) {
            Permit permit = admitted(lookup());
            clock.advance(SERVICE_TIME);
            permit.release(RunOutcome.SUCCEEDED);
        }
        assertThat(admission.concurrencyLimit()).isGreaterThan(1);
    }

    @Test
    void shouldKeepEveryLimitWhenOperationsComeInAnyOrder() {
        for (long seed = 0; seed < 300; seed++) {
            try {
                runRandomOperations(new Random(seed));
            } catch (AssertionError failure) {
                throw new AssertionError("seed " + seed, failure);
            }
        }
    }

    private void runRandomOperations(Random random) {
        AdmissionController controller = AdmissionController.of(AdmissionLimits.of(3, 5, 34), clock, random);
        List<Permit> permits = new ArrayList<>();
        List<AdmissionTicket> tickets = new ArrayList<>();
        for (int round = 0; round < 200; round++) {
            clock.advance(Duration.ofMillis(random.nextInt(5)));
            switch (random.nextInt(8)) {
                case 0, 1, 2, 3 -> {
                    RequestKind kind = List.of(RequestKind.values()).get(random.nextInt(3));
                    long deadline = clock.after(Duration.ofMillis(random.nextInt(60)));
                    switch (controller.submit(new AdmissionRequest(kind, deadline, random.nextInt(10) == 0))) {
                        case AdmissionDecision.Admitted admitted -> permits.add(admitted.permit());
                        case AdmissionDecision.Queued queued -> tickets.add(queued.ticket());
                        case AdmissionDecision.Refused refused ->
                            assertThat(refused.retryAfter()).isGreaterThan(Duration.ZERO);
                    }
                }
                case 4, 5, 6 -> {
                    if (!permits.isEmpty()) {
                        Permit permit = permits.remove(random.nextInt(permits.size()));
                        permit.release(List.of(RunOutcome.values()).get(random.nextInt(5)));
                        permit.release(RunOutcome.SUCCEEDED);
                    }
                }
                default -> tickets.stream().findAny().ifPresent(AdmissionTicket::cancel);
            }
            controller.expire();
            collect(tickets, permits);
            checkLimits(controller, permits, tickets);
        }
    }

    private void collect(List<AdmissionTicket> tickets, List<Permit> permits) {
        for (AdmissionTicket ticket : List.copyOf(tickets)) {
            if (ticket.decision().getNow(null) instanceof AdmissionDecision.Admitted admitted) {
                permits.add(admitted.permit());
                boolean isInTime = ticket.queueDeadlineNanoseconds() - clock.getAsLong() > 0;
                assertWithMessage("admitted before its deadline").that(isInTime).isTrue();
            }
            if (ticket.decision().isDone()) {
                tickets.remove(ticket);
            } else {
                boolean isLate = ticket.queueDeadlineNanoseconds() - clock.getAsLong() <= 0;
                assertWithMessage("queued past its deadline").that(isLate).isFalse();
            }
        }
    }

    private static void checkLimits(
            AdmissionController controller, List<Permit> permits, List<AdmissionTicket> tickets) {
        assertThat(permits.size()).isAtMost(3);
        assertThat(controller.inFlight()).isEqualTo(permits.size());
        assertThat(controller.queued()).isEqualTo(tickets.size());
        assertThat(tickets.size()).isAtMost(5);
        long downloads = permits.stream()
                .filter(permit -> permit.request().isLongRunning())
                .count();
        boolean isExclusive =
                permits.stream().anyMatch(permit -> permit.request().isExclusive());
        assertWithMessage("reserved slots").that(downloads).isAtMost(isExclusive ? 1 : 2);
        assertWithMessage("exclusive").that(isExclusive && permits.size() > 1).isFalse();
    }

    @Test
    void shouldNeverExceedTheSlotsWhenManyThreadsSubmit() throws InterruptedException {
        AdmissionController controller =
                AdmissionController.of(AdmissionLimits.of(3, 50, 0).withFixedConcurrency(), clock, new Random(1));
        AtomicInteger running = new AtomicInteger();
        AtomicInteger highest = new AtomicInteger();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int caller = 0; caller < 40; caller++) {
                threads.execute(() -> {
                    for (int round = 0; round < 200; round++) {
                        AdmissionDecision decision = controller.submit(lookup());
                        AdmissionDecision settled = decision instanceof AdmissionDecision.Queued queued
                                ? queued.ticket().decision().join()
                                : decision;
                        if (settled instanceof AdmissionDecision.Admitted admitted) {
                            highest.accumulateAndGet(running.incrementAndGet(), Math::max);
                            running.decrementAndGet();
                            admitted.permit().release(RunOutcome.SUCCEEDED);
                        }
                    }
                });
            }
        }
        assertThat(highest.get()).isAtMost(3);
        assertThat(controller.inFlight()).isEqualTo(0);
        assertThat(controller.queued()).isEqualTo(0);
    }
}
