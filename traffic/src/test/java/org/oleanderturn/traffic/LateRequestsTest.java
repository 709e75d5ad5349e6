package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.OrganisationName;

/** Plays an organisation that sends several times its limit, with clients that return twice, and counts who is answered. */
final class LateRequestsTest {
    private static final OrganisationName ORGANISATION = OrganisationName.of("organisation");
    private static final double TOKENS_PER_SECOND = 12;
    private static final Duration TARGET_LATENCY = Duration.ofMillis(400);
    private static final Duration TIME = Duration.ofSeconds(20);
    private static final int RETRIES = 2;
    private static final long SECOND = 1_000_000_000L;

    private final AtomicLong now = new AtomicLong(SECOND);
    private final LateRequests late = LateRequests.of(now::get);
    private final Random random = new Random(0);

    private record Attempt(long atNanoseconds, long firstNanoseconds, int number) {}

    private record Answers(int inTime, int late) {}

    // Guards against tokens spent on requests that come too late, while others that could be in time are refused.
    @Test
    void shouldAnswerRequestsInTimeWhenTheOrganisationSendsThreeTimesItsLimit() {
        Answers without = play(3, false);
        Answers with = play(3, true);
        assertThat(with.inTime() + with.late()).isAtLeast((int) (0.98 * (without.inTime() + without.late())));
        assertThat(with.inTime()).isAtLeast((int) (0.95 * TOKENS_PER_SECOND * TIME.toSeconds()));
        assertThat(without.inTime()).isLessThan((int) (0.6 * TOKENS_PER_SECOND * TIME.toSeconds()));
    }

    // Guards against late requests that are refused although there are tokens.
    @Test
    void shouldAnswerAllRequestsWhenTheOrganisationIsWithinItsLimit() {
        assertThat(play(0.8, true)).isEqualTo(play(0.8, false));
    }

    @Test
    void shouldLetLateRequestsTakeTokensWhenNoRequestInTimeWasRefusedLately() {
        late.recordRefusal(ORGANISATION);
        assertThat(late.refusal(ORGANISATION)).isEqualTo(Optional.of(LateRequests.HOLD));
        now.addAndGet(LateRequests.HOLD.toNanos());
        assertThat(late.refusal(ORGANISATION)).isEqualTo(Optional.empty());
    }

    private Answers play(double load, boolean isLateHeldBack) {
        random.setSeed(0);
        PriorityQueue<Attempt> attempts = new PriorityQueue<>(Comparator.comparingLong(Attempt::atNanoseconds));
        long start = now.get();
        for (long at = start; at < start + TIME.toNanos(); at += (long) (SECOND / (TOKENS_PER_SECOND * load))) {
            attempts.add(new Attempt(at, at, 0));
        }
        double tokens = TOKENS_PER_SECOND;
        int inTime = 0;
        int tooLate = 0;
        long before = start;
        while (!attempts.isEmpty() && attempts.peek().atNanoseconds() < start + TIME.toNanos()) {
            Attempt attempt = attempts.remove();
            now.set(attempt.atNanoseconds());
            tokens = Math.min(
                    TOKENS_PER_SECOND, tokens + TOKENS_PER_SECOND * (attempt.atNanoseconds() - before) / SECOND);
            before = attempt.atNanoseconds();
            boolean isLate = attempt.atNanoseconds() - attempt.firstNanoseconds() > TARGET_LATENCY.toNanos();
            boolean isHeldBack =
                    isLateHeldBack && isLate && late.refusal(ORGANISATION).isPresent();
            if (!isHeldBack && tokens >= 1) {
                tokens--;
                inTime += isLate ? 0 : 1;
                tooLate += isLate ? 1 : 0;
                continue;
            }
            if (!isLate) {
                late.recordRefusal(ORGANISATION);
            }
            if (attempt.number() < RETRIES) {
                long wait = (long) ((0.5 + random.nextDouble()) * SECOND);
                attempts.add(
                        new Attempt(attempt.atNanoseconds() + wait, attempt.firstNanoseconds(), attempt.number() + 1));
            }
        }
        now.set(start + TIME.multipliedBy(2).toNanos());
        return new Answers(inTime, tooLate);
    }
}
