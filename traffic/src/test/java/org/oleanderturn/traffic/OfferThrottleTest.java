package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Plays a load of 1,000 requests a second of which a target takes a given number, and counts the offers. */
final class OfferThrottleTest {
    private static final int REQUESTS = 1_000;

    /** How many requests wait for the slots, which keeps these busy between two offers. */
    private static final int QUEUE = 5;

    private static final Duration SLOW = Duration.ofMillis(100);
    private static final Duration QUICK = Duration.ofMillis(2);
    private static final Duration WAIT = Duration.ofMillis(40);

    private final AtomicLong clock = new AtomicLong();
    private final OfferThrottle throttle = OfferThrottle.of(clock::get, new SplittableRandom(1));

    @Test
    void shouldOfferEveryRequestWhenHalfOfThemAreTaken() {
        assertThat(offersOfASecond(500, SLOW)).isEqualTo(REQUESTS);
    }

    @Test
    void shouldOfferTwiceWhatIsTakenWhenRefusalsAreSlow() {
        offersOfASecond(100, SLOW);
        offersOfASecond(100, SLOW);
        assertThat(offersOfASecond(100, SLOW)).isIn(Range.closed(160, 260));
        assertThat(throttle.expectedWait()).isEqualTo(WAIT);
    }

    @Test
    void shouldOfferEveryRequestWhenRefusalsComeAtOnce() {
        offersOfASecond(100, QUICK);
        assertThat(offersOfASecond(100, QUICK)).isEqualTo(REQUESTS);
    }

    @Test
    void shouldOfferAFewRequestsWhenNoneIsTaken() {
        offersOfASecond(0, SLOW);
        assertThat(offersOfASecond(0, SLOW)).isIn(Range.closed(1, 10));
    }

    @Test
    void shouldOfferEveryRequestAgainWhenTheLoadHasGone() {
        offersOfASecond(0, SLOW);
        clock.addAndGet(Duration.ofSeconds(6).toNanos());
        assertThat(throttle.withheldShare()).isEqualTo(0.0);
        assertThat(throttle.tryOffer()).isTrue();
    }

    @Test
    void shouldNotTakeTheTimeOfAWaitForASlowRefusal() {
        for (int request = 0; request < REQUESTS; request++) {
            throttle.recordRefused(QUICK, WAIT);
            throttle.recordOvertaken(WAIT);
            throttle.recordTaken();
        }
        assertThat(throttle.withheldShare()).isEqualTo(0.0);
    }

    /** Plays a second in which the target takes the given number of offers, evenly spread, and returns how many it got. */
    private int offersOfASecond(int taken, Duration refusal) {
        int offers = 0;
        double room = 0;
        for (int request = 0; request < REQUESTS; request++) {
            clock.addAndGet(Duration.ofSeconds(1).toNanos() / REQUESTS);
            room = Math.min(QUEUE, room + (double) taken / REQUESTS);
            if (!throttle.tryOffer()) {
                continue;
            }
            offers++;
            if (room >= 1) {
                room--;
                throttle.recordTaken();
            } else {
                throttle.recordRefused(refusal, WAIT);
            }
        }
        return offers;
    }
}
