package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class RetryBudgetTest {

    @Test
    void shouldNeverExceedThePercentageAndTheBurstWhenAttemptsAndRetriesMix() {
        for (long seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            int percent = random.nextInt(101);
            RetryBudget budget = RetryBudget.of(percent, 5);
            int firstAttempts = 0;
            int extraAttempts = 0;
            for (int round = 0; round < 500; round++) {
                if (random.nextInt(3) == 0) {
                    budget.recordFirstAttempt();
                    firstAttempts++;
                } else {
                    extraAttempts += budget.tryWithdraw() ? 1 : 0;
                }
                assertWithMessage("seed %s", seed).that(extraAttempts * 100).isAtMost(500 + firstAttempts * percent);
            }
        }
    }

    @Test
    void shouldHoldNoMoreThanTheBurstWhenThereWereNoRetries() {
        RetryBudget budget = RetryBudget.of(20, 5);
        IntStream.range(0, 10_000).forEach(attempt -> budget.recordFirstAttempt());
        long withdrawn =
                IntStream.range(0, 100).filter(retry -> budget.tryWithdraw()).count();
        assertThat(withdrawn).isEqualTo(5);
    }

    @Test
    void shouldNotMultiplyAttemptsWhenACallChainIsTwelveHopsDeep() {
        for (int allowance = 0; allowance <= 8; allowance++) {
            assertThat(attemptsAtLastHop(RetryAllowance.of(allowance), 12)).isAtMost(1 + allowance);
        }
        assertThat(attemptsAtLastHop(RetryAllowance.forMaximumAttempts(3), 1)).isAtLeast(3);
    }

    /**
     * Counts the attempts that reach the last hop of a call chain if it always fails and each hop retries as often as
     * it may.
     */
    private static int attemptsAtLastHop(RetryAllowance allowance, int depth) {
        if (depth == 0) {
            return 1;
        }
        int total = attemptsAtLastHop(allowance.grant(), depth - 1);
        RetryAllowance remaining = allowance.afterGrant();
        while (!remaining.isEmpty()) {
            RetryAllowance spent = remaining.spend();
            total += attemptsAtLastHop(spent.grant(), depth - 1);
            remaining = spent.afterGrant();
        }
        return total;
    }

    @Test
    void shouldNeverGrantALaterHopMoreTimeThanRemainsWhenTimePasses() {
        FakeClock clock = new FakeClock();
        DeadlineBudget budget = DeadlineBudget.of(clock, Duration.ofMillis(100), Duration.ofMillis(80));
        clock.advance(Duration.ofMillis(30));
        assertThat(budget.forNextHop(Duration.ofMillis(2))).isEqualTo(Duration.ofMillis(48));
        clock.advance(Duration.ofMillis(60));
        assertThat(budget.forNextHop(Duration.ofMillis(2))).isEqualTo(Duration.ZERO);
        assertThat(budget.isExpired()).isTrue();
    }
}
