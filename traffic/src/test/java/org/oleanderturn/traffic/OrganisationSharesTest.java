package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.OrganisationName;

final class OrganisationSharesTest {
    private static final OrganisationName LARGE = OrganisationName.of("large");
    private static final OrganisationName SMALL = OrganisationName.of("small");
    private static final Duration RUN = Duration.ofMillis(100);
    private static final int RANK = 11;

    private final AtomicLong clock = new AtomicLong();
    private final SlotQueue queue = SlotQueue.of(clock::get);

    /** Guards against a small organisation that waits behind all that a large one has queued before it. */
    @Test
    void shouldGrantTheNextSlotToTheSmallOrganisationWhenALargeOneWaitsWithMany() {
        queue.open(1);
        SlotTicket running = request(RANK, LARGE, 10_000);
        List<SlotTicket> backlog = IntStream.range(0, 10)
                .mapToObj(_ -> request(RANK, LARGE, 10_000))
                .toList();
        SlotTicket small = request(RANK, SMALL, 10_000);
        clock.addAndGet(RUN.toNanos());
        queue.release(running);
        assertThat(isGranted(small)).isTrue();
        assertThat(backlog.stream().noneMatch(OrganisationSharesTest::isGranted))
                .isTrue();
    }

    /** Guards against the share overriding the rank. */
    @Test
    void shouldGrantTheMoreUrgentRankFirstWhenItsOrganisationIsOverItsShare() {
        queue.open(1);
        SlotTicket running = request(RANK, LARGE, 10_000);
        SlotTicket small = request(RANK + 1, SMALL, 10_000);
        SlotTicket urgent = request(RANK, LARGE, 10_000);
        queue.release(running);
        assertThat(isGranted(urgent)).isTrue();
        assertThat(isGranted(small)).isFalse();
    }

    /** Guards against the refusal of a small organisation's request for a backlog that is not its own. */
    @Test
    void shouldRefuseTheBacklogOfTheLargeOrganisationWhenNotAllCanBeServedInTime() {
        queue.open(1);
        request(RANK, LARGE, 10_000);
        List<SlotTicket> backlog = new ArrayList<>();
        for (int waiting = 0; waiting < 8; waiting++) {
            backlog.add(request(RANK, LARGE, 600));
        }
        SlotTicket small = request(RANK, SMALL, 600);
        assertThat(small.decision().isPresent()).isFalse();
        List<SlotTicket> refused =
                backlog.stream().filter(ticket -> ticket.decision().isPresent()).toList();
        assertThat(refused).isNotEmpty();
        assertThat(refused.stream().allMatch(SlotTicket::isOverShare)).isTrue();
    }

    /** Guards against slots that stay unused, or requests that are refused, while one organisation asks alone. */
    @Test
    void shouldGrantEverySlotToAnOrganisationThatAsksAlone() {
        queue.open(6);
        for (int round = 0; round < 100; round++) {
            List<SlotTicket> tickets = IntStream.range(0, 6)
                    .mapToObj(_ -> request(RANK, LARGE, 1_000))
                    .toList();
            assertThat(tickets.stream().allMatch(OrganisationSharesTest::isGranted))
                    .isTrue();
            clock.addAndGet(RUN.toNanos());
            tickets.forEach(queue::release);
        }
    }

    /** Guards against a slot for a request that has no time left, which its caller is told did not run. */
    @Test
    void shouldRefuseARequestWhoseWaitIsOverWhenASlotIsReleased() {
        queue.open(1);
        SlotTicket running = request(RANK, LARGE, 10_000);
        SlotTicket waiting = request(RANK, SMALL, 300);
        clock.addAndGet(Duration.ofMillis(301).toNanos());
        queue.release(running);
        assertThat(((SlotDecision.Refused) waiting.decision().orElseThrow()).reason())
                .isEqualTo(SlotDecision.Reason.OVERTAKEN);
        assertThat(queue.state().running()).isEqualTo(0);
    }

    /** Guards against calls that are ranked behind the runs that wait for them. */
    @Test
    void shouldReportTheMostUrgentRankThatRuns() {
        queue.open(2);
        SlotTicket urgent = request(RANK, LARGE, 1_000);
        request(RANK + 10, SMALL, 1_000);
        assertThat(queue.mostUrgentRunningRank().orElseThrow()).isEqualTo(RANK);
        queue.release(urgent);
        assertThat(queue.mostUrgentRunningRank().orElseThrow()).isEqualTo(RANK + 10);
    }

    /** Guards against memory that grows with the number of organisations. */
    @Test
    void shouldForgetOrganisationsWhenTheyHaveNotAskedForSecondsOrAreTooMany() {
        OrganisationShares shares = new OrganisationShares();
        for (int number = 0; number < 2 * OrganisationShares.MAXIMUM_ACCOUNTS; number++) {
            shares.recordRequest(number % 3, OrganisationName.of("organisation-" + number), number);
        }
        assertThat(shares.size()).isEqualTo(OrganisationShares.MAXIMUM_ACCOUNTS);
        shares.recordRequest(0, SMALL, 2 * OrganisationShares.RETENTION_NANOSECONDS);
        assertThat(shares.size()).isEqualTo(1);
    }

    private SlotTicket request(int rank, OrganisationName organisation, int maximumWaitMilliseconds) {
        Duration maximumWait = Duration.ofMillis(maximumWaitMilliseconds);
        return queue.request(
                new SlotRequest(rank, RUN, RUN, Duration.ofSeconds(10), maximumWait, Optional.of(organisation)));
    }

    private static boolean isGranted(SlotTicket ticket) {
        return ticket.decision().filter(SlotDecision.Granted.class::isInstance).isPresent();
    }
}
