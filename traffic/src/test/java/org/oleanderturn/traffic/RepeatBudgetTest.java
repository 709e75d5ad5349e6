package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class RepeatBudgetTest {
    private static final long WINDOW = Duration.ofSeconds(10).toNanos();

    private final AtomicLong clock = new AtomicLong();
    private final RepeatBudget budget = RepeatBudget.of(0.2, 2, WINDOW, clock::get);

    @Test
    void shouldGrantItsPartWithoutRequests() {
        assertThat(budget.tryTake()).isTrue();
        assertThat(budget.tryTake()).isTrue();
        assertThat(budget.tryTake()).isFalse();
    }

    @Test
    void shouldGrantTheRatioOfTheRequestsInTheWindow() {
        for (int request = 0; request < 10; request++) {
            budget.note();
        }
        int granted = 0;
        while (budget.tryTake()) {
            granted++;
        }
        assertThat(granted).isEqualTo(4);
    }

    @Test
    void shouldForgetWhatLeftTheWindow() {
        budget.note();
        while (budget.tryTake()) {
            clock.addAndGet(1);
        }
        clock.addAndGet(WINDOW + 1);
        assertThat(budget.tryTake()).isTrue();
    }
}
