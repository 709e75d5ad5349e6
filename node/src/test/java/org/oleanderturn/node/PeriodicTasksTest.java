package org.oleanderturn.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
final class PeriodicTasksTest {

    @Test
    void shouldRunATaskAgainWhenItFailedUnexpectedly() throws InterruptedException {
        assertRunAgain(() -> {
            throw new IllegalStateException("unexpected");
        });
    }

    @Test
    void shouldRunATaskAgainWhenItEndedWithAnError() throws InterruptedException {
        assertRunAgain(() -> {
            throw new StackOverflowError("a value nested too deep");
        });
    }

    private static void assertRunAgain(Runnable failure) throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(2);
        try (PeriodicTasks tasks = new PeriodicTasks()) {
            tasks.runRepeatedly(() -> {
                runs.countDown();
                failure.run();
                return 0;
            });
            assertThat(runs.await(10, TimeUnit.SECONDS)).isTrue();
        }
    }
}
