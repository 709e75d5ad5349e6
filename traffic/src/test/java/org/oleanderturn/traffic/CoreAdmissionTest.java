package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class CoreAdmissionTest {
    private static final Duration LATE = Duration.ofMillis(200);
    private static final int REQUESTS = 2_000;

    private final AtomicLong clock = new AtomicLong();
    private final CoreAdmission admission = CoreAdmission.of(clock::get, new SplittableRandom(1));

    @Test
    void shouldAdmitAllWhileTheCoreIsInTime() {
        assertThat(admitted(Duration.ofMillis(20), 3)).isEqualTo(REQUESTS);
    }

    @Test
    void shouldAdmitFewerAndTheUrgentMoreOftenWhileTheCoreIsLate() {
        stayLate(5);
        int urgent = admitted(LATE, 0);
        int usual = admitted(LATE, 2);
        assertThat(usual).isLessThan(REQUESTS / 3);
        assertThat(usual).isGreaterThan(0);
        assertThat(urgent).isGreaterThan(usual * 3 / 2);
    }

    @Test
    void shouldAdmitAllAgainWhenTheCoreIsInTimeForSeconds() {
        stayLate(20);
        for (int period = 0; period < 30; period++) {
            pass();
            var _ = admission.tryAdmit(Duration.ZERO, 2);
        }
        assertThat(admitted(Duration.ZERO, 2)).isEqualTo(REQUESTS);
    }

    /** The load: more requests than the core can serve, each of which runs only if both calls that it makes are taken. */
    @Test
    void shouldCompleteEveryAdmittedRunThatMakesCallsWhileTheCoreIsLate() {
        stayLate(5);
        int admitted = 0;
        int completed = 0;
        for (int request = 0; request < REQUESTS; request++) {
            if (admission.tryAdmit(LATE, 0)) {
                admitted++;
                boolean isFirstTaken = admission.tryAdmitCall(LATE);
                boolean isSecondTaken = admission.tryAdmitCall(LATE);
                completed += isFirstTaken && isSecondTaken ? 1 : 0;
            }
        }
        assertThat(admitted).isLessThan(REQUESTS);
        assertThat(completed).isEqualTo(admitted);
    }

    @Test
    void shouldRefuseACallThatIsTooLateForAnyone() {
        assertThat(admission.tryAdmitCall(Duration.ofMillis(400))).isFalse();
    }

    private void stayLate(int periods) {
        for (int period = 0; period < periods; period++) {
            pass();
            var _ = admission.tryAdmit(LATE, 2);
        }
    }

    private void pass() {
        clock.addAndGet(Duration.ofMillis(100).toNanos());
    }

    private int admitted(Duration lateness, int rank) {
        return Math.toIntExact(IntStream.range(0, REQUESTS)
                .filter(_ -> admission.tryAdmit(lateness, rank))
                .count());
    }
}
