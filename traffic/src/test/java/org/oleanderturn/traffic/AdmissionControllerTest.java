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
        return AdmissionRequest.of(RequestKind.LOOKUP, clock.in(Duration.ofSeconds(1)));
    }

    private AdmissionRequest download() {
        return AdmissionRequest.of(RequestKind.DOWNLOAD, clock.in(Duration.ofSeconds(60)));
    }

    private AdmissionRequest alone(Duration patience) {
        return AdmissionRequest.exclusive(RequestKind.LOOKUP, clock.in(patience));
    }

    private Permit admitted(AdmissionRequest work) {
        return ((AdmissionDecision.Admitted) admission.submit(work)).permit();
    }

    private AdmissionTicket queued(AdmissionRequest work) {
        return ((AdmissionDecision.Queued) admission.submit(work)).ticket();
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

    /** What happens to work that waits. */
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

    static Stream<Arguments> cells() {
        return Arrays.stream(RequestKind.values())
                .flatMap(kind -> Arrays.stream(Fault.values()).map(fault -> Arguments.of(kind, fault)));
    }

    @ParameterizedTest
    @MethodSource("cells")
    void shouldRefuseWaitingWorkOnceAndAtOnceWhenAFaultStrikes(RequestKind kind, Fault fault) {
        String invariant = "refused at once as not run; place freed; no permit afterwards";
        FaultMatrixReport.run("admission " + kind, "QUEUED", fault.name(), invariant, () -> {
            List<Permit> running = fill();
            AdmissionTicket ticket = queued(AdmissionRequest.of(kind, clock.in(Duration.ofMillis(100))));
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
    void shouldKeepReservedSlotsForShortWorkWhenDownloadsFillTheRest() {
        admitted(download());
        admitted(download());
        AdmissionTicket third = queued(download());
        Permit lookup = admitted(lookup());
        admitted(lookup());
        lookup.release(RunOutcome.SUCCEEDED);
        assertThat(third.decision().isDone()).isFalse();
    }

    @Test
    void shouldAdmitShortWorkBeforeLongWorkThatWaitsLonger() {
        List<Permit> running = fill();
        AdmissionTicket download = queued(download());
        AdmissionTicket lookup = queued(lookup());
        running.getFirst().release(RunOutcome.SUCCEEDED);
        assertThat(lookup.decision().isDone()).isTrue();
        assertThat(download.decision().isDone()).isFalse();
    }

    @Test
    void shouldAdmitLongWorkWithinNineTurnsWhenShortWorkNeverEnds() {
        List<Permit> running = new ArrayList<>(fill());
        AdmissionTicket download = queued(download());
        int turns = 0;
        while (!download.decision().isDone()) {
            AdmissionTicket lookup = queued(lookup());
            running.removeFirst().release(RunOutcome.SUCCEEDED);
            if (lookup.decision().isDone()) {
                running.add(permit(lookup));
            }
            assertThat(++turns).isAtMost(9);
        }
    }

    @Test
    void shouldRefuseAtOnceWhenTheWaitWouldOutlastTheDeadline() {
        List<Permit> running = fill();
        clock.advance(SERVICE_TIME.multipliedBy(10));
        running.getFirst().release(RunOutcome.SUCCEEDED);
        admitted(lookup());
        AdmissionDecision decision = admission.submit(AdmissionRequest.of(RequestKind.LOOKUP, clock.in(SERVICE_TIME)));
        assertThat(reason(decision)).isEqualTo(NotRunReason.DEADLINE);
        assertThat(((AdmissionDecision.Refused) decision).retryAfter()).isGreaterThan(Duration.ZERO);
    }

    @Test
    void shouldSpreadRetryAfterWhenManyAreRefused() {
        fill();
        IntStream.range(0, 6).forEach(place -> queued(lookup()));
        long distinct = IntStream.range(0, 50)
                .mapToObj(caller -> ((AdmissionDecision.Refused) admission.submit(lookup())).retryAfter())
                .distinct()
                .count();
        assertThat(distinct).isGreaterThan(40L);
    }

    @Test
    void shouldRunSuspectsAloneAndLetOthersInBetween() {
        Permit running = admitted(lookup());
        AdmissionTicket first = queued(alone(Duration.ofSeconds(1)));
        AdmissionTicket second = queued(alone(Duration.ofSeconds(1)));
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
    void shouldHoldOnlyLongWorkBackWhileASuspectWaitsForADownload() {
        Permit running = admitted(download());
        AdmissionTicket suspect = queued(alone(Duration.ofSeconds(30)));
        Permit lookup = admitted(lookup());
        AdmissionTicket download = queued(download());
        running.release(RunOutcome.SUCCEEDED);
        assertThat(suspect.decision().isDone()).isFalse();
        lookup.release(RunOutcome.SUCCEEDED);
        assertThat(suspect.decision().isDone()).isTrue();
        assertThat(download.decision().isDone()).isFalse();
    }

    @Test
    void shouldRefuseASuspectAndLetOthersInWhenItHasWaitedTooLong() {
        admitted(download());
        AdmissionTicket suspect = queued(alone(Duration.ofSeconds(30)));
        AdmissionTicket download = queued(download());
        clock.advance(Duration.ofSeconds(2));
        admission.expire();
        assertThat(reason(suspect.decision().getNow(null))).isEqualTo(NotRunReason.SUSPECT_WAITING);
        assertThat(download.decision().isDone()).isTrue();
    }

    @Test
    void shouldLetOthersInWhenASuspectAnswersOrRunsForLong() {
        Permit first = admitted(alone(Duration.ofSeconds(30)));
        AdmissionTicket lookup = queued(lookup());
        first.endExclusivity();
        permit(lookup).release(RunOutcome.SUCCEEDED);
        first.release(RunOutcome.SUCCEEDED);
        Permit second = admitted(alone(Duration.ofSeconds(30)));
        AdmissionTicket download = queued(download());
        clock.advance(Duration.ofSeconds(2));
        admission.expire();
        assertThat(download.decision().isDone()).isTrue();
        second.release(RunOutcome.SUCCEEDED);
        assertThat(admission.inFlight()).isEqualTo(1);
    }

    @Test
    void shouldRunFewerAtOnceWhenTheTargetShedsAndRecoverAfterwards() {
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
    void shouldKeepEachLimitWhenOffersReleasesAndCancelsComeInAnyOrder() {
        for (long seed = 0; seed < 300; seed++) {
            try {
                anyOrder(new Random(seed));
            } catch (AssertionError failure) {
                throw new AssertionError("seed " + seed, failure);
            }
        }
    }

    private void anyOrder(Random random) {
        AdmissionController guard = AdmissionController.of(AdmissionLimits.of(3, 5, 34), clock, random);
        List<Permit> permits = new ArrayList<>();
        List<AdmissionTicket> tickets = new ArrayList<>();
        for (int round = 0; round < 200; round++) {
            clock.advance(Duration.ofMillis(random.nextInt(5)));
            switch (random.nextInt(8)) {
                case 0, 1, 2, 3 -> {
                    RequestKind kind = List.of(RequestKind.values()).get(random.nextInt(3));
                    long deadline = clock.in(Duration.ofMillis(random.nextInt(60)));
                    switch (guard.submit(new AdmissionRequest(kind, deadline, random.nextInt(10) == 0))) {
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
            guard.expire();
            collect(tickets, permits);
            checkLimits(guard, permits, tickets);
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
                assertWithMessage("held past its deadline").that(isLate).isFalse();
            }
        }
    }

    private static void checkLimits(AdmissionController guard, List<Permit> permits, List<AdmissionTicket> tickets) {
        assertThat(permits.size()).isAtMost(3);
        assertThat(guard.inFlight()).isEqualTo(permits.size());
        assertThat(guard.queued()).isEqualTo(tickets.size());
        assertThat(tickets.size()).isAtMost(5);
        long downloads = permits.stream()
                .filter(permit -> permit.request().isLongRunning())
                .count();
        boolean isAlone = permits.stream().anyMatch(permit -> permit.request().isExclusive());
        assertWithMessage("reserved slots").that(downloads).isAtMost(isAlone ? 1 : 2);
        assertWithMessage("alone").that(isAlone && permits.size() > 1).isFalse();
    }

    @Test
    void shouldNeverExceedTheSlotsWhenManyThreadsAsk() throws InterruptedException {
        AdmissionController guard =
                AdmissionController.of(AdmissionLimits.of(3, 50, 0).withFixedConcurrency(), clock, new Random(1));
        AtomicInteger running = new AtomicInteger();
        AtomicInteger most = new AtomicInteger();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int caller = 0; caller < 40; caller++) {
                threads.execute(() -> {
                    for (int round = 0; round < 200; round++) {
                        AdmissionDecision decision = guard.submit(lookup());
                        AdmissionDecision settled = decision instanceof AdmissionDecision.Queued queued
                                ? queued.ticket().decision().join()
                                : decision;
                        if (settled instanceof AdmissionDecision.Admitted admitted) {
                            most.accumulateAndGet(running.incrementAndGet(), Math::max);
                            running.decrementAndGet();
                            admitted.permit().release(RunOutcome.SUCCEEDED);
                        }
                    }
                });
            }
        }
        assertThat(most.get()).isAtMost(3);
        assertThat(guard.inFlight()).isEqualTo(0);
        assertThat(guard.queued()).isEqualTo(0);
    }
}
