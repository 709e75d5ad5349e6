package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class WindowedRetryBudgetTest {
    private static final long WINDOW = Duration.ofSeconds(10).toNanos();

    private final AtomicLong clock = new AtomicLong();
    private final WindowedRetryBudget budget = WindowedRetryBudget.of(0.2, 2, WINDOW, clock::get);

    @Test
    void shouldGrantTheConstantPartWhenThereWereNoRequests() {
        assertThat(budget.tryWithdraw()).isTrue();
        assertThat(budget.tryWithdraw()).isTrue();
        assertThat(budget.tryWithdraw()).isFalse();
    }

    @Test
    void shouldAddTheRatioWhenThereWereRequestsInTheWindow() {
        for (int request = 0; request < 10; request++) {
            budget.recordRequest();
        }
        int granted = 0;
        while (budget.tryWithdraw()) {
            granted++;
        }
        assertThat(granted).isEqualTo(4);
    }

    @Test
    void shouldGrantAgainWhenRetriesHaveLeftTheWindow() {
        budget.recordRequest();
        while (budget.tryWithdraw()) {
            clock.addAndGet(1);
        }
        clock.addAndGet(WINDOW + 1);
        assertThat(budget.tryWithdraw()).isTrue();
    }
}
