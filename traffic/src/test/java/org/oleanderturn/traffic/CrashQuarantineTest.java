package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.RequestKind;
import org.oleanderturn.model.RouteName;

final class CrashQuarantineTest {
    private static final Fingerprint CRASHING = fingerprint("/crash");
    private static final Fingerprint HEALTHY = fingerprint("/healthy");
    private final FakeClock clock = new FakeClock();
    private final CrashQuarantine quarantine = quarantine("guard-0");

    private static Fingerprint fingerprint(String path) {
        return Fingerprint.of(RouteName.of("lookups"), "GET", path, new byte[0]);
    }

    private CrashQuarantine quarantine(String node) {
        return CrashQuarantine.of(NodeId.of(node), clock.milliseconds(), new Random(5));
    }

    @Test
    void shouldSuspectAllAndConvictNoneWhenSeveralWereInFlight() {
        quarantine.begin(CRASHING, false);
        quarantine.begin(HEALTHY, false);
        assertThat(quarantine.targetDied()).isEqualTo(Optional.empty());
        assertThat(quarantine.standing(CRASHING)).isEqualTo(new Standing.Suspect());
        assertThat(quarantine.standing(HEALTHY)).isEqualTo(new Standing.Suspect());
    }

    @Test
    void shouldAcquitTheHealthyAndConvictTheCrashingWhenEachRanAlone() {
        quarantine.suspect(HEALTHY);
        quarantine.suspect(CRASHING);
        quarantine.complete(quarantine.begin(HEALTHY, true));
        quarantine.begin(CRASHING, true);
        assertThat(quarantine.targetDied().map(Conviction::fingerprint)).isEqualTo(Optional.of(CRASHING));
        assertThat(quarantine.standing(HEALTHY)).isEqualTo(new Standing.Clear());
        Standing.Convicted convicted = (Standing.Convicted) quarantine.standing(CRASHING);
        assertThat(convicted.retryAfter()).isAtLeast(Duration.ofMinutes(5));
    }

    @Test
    void shouldConvictNobodyWhenTheRequestAloneHadBeenGivenUp() {
        quarantine.suspect(HEALTHY);
        quarantine.abandon(quarantine.begin(HEALTHY, true));
        assertThat(quarantine.targetDied()).isEqualTo(Optional.empty());
        assertThat(quarantine.standing(HEALTHY)).isEqualTo(new Standing.Suspect());
    }

    @Test
    void shouldRunAloneAgainAndDoubleTheTimeWhenAConvictionHasEnded() {
        quarantine.begin(CRASHING, true);
        long first = quarantine.targetDied().orElseThrow().expiresMilliseconds();
        clock.advance(Duration.ofMillis(first).minusNanos(clock.getAsLong()));
        assertThat(quarantine.standing(CRASHING)).isEqualTo(new Standing.Suspect());
        quarantine.begin(CRASHING, true);
        Conviction second = quarantine.targetDied().orElseThrow();
        assertThat(second.expiresMilliseconds() - first)
                .isEqualTo(Duration.ofMinutes(10).toMillis());
    }

    @Test
    void shouldBoundALearntConvictionAndKeepTheLaterOfTwo() {
        Conviction endless = new Conviction(CRASHING, NodeId.of("other"), Long.MAX_VALUE, 1);
        byte[] bytes = Codec.messagePack().encode(endless);
        quarantine.learn(Codec.messagePack().decode(bytes, Conviction.class).get());
        quarantine.learn(new Conviction(CRASHING, NodeId.of("other"), 0, 1));
        assertThat(quarantine.standing(CRASHING)).isInstanceOf(Standing.Convicted.class);
        clock.advance(Duration.ofHours(1));
        assertThat(quarantine.standing(CRASHING)).isEqualTo(new Standing.Suspect());
    }

    static Stream<RequestKind> kinds() {
        return Arrays.stream(RequestKind.values());
    }

    @ParameterizedTest
    @MethodSource("kinds")
    void shouldLoseAtMostTwoTargetsWhenACallerResendsACrashingRequestToOneEntry(RequestKind kind) {
        MatrixReport.run(
                "quarantine " + kind, "RESENT_TO_ONE_ENTRY", "REQUEST_CRASHES_TARGETS", "two targets at most", () -> {
                    Fleet fleet = new Fleet(10);
                    CrashQuarantine entry = quarantine("entry");
                    int deaths = IntStream.range(0, 20)
                            .map(resend -> fleet.send(kind, entry))
                            .sum();
                    assertThat(deaths).isAtMost(2);
                    fleet.checkHealthyRunsEverywhere();
                });
    }

    @ParameterizedTest
    @MethodSource("kinds")
    void shouldLoseAtMostTwoTargetsForEachUninformedEntryWhenNothingSpreads(RequestKind kind) {
        MatrixReport.run(
                "quarantine " + kind, "RESENT_TO_EACH_ENTRY", "GOSSIP_LOST", "two targets an entry at most", () -> {
                    Fleet fleet = new Fleet(10);
                    int deaths = 0;
                    for (int number = 0; number < 5; number++) {
                        CrashQuarantine entry = quarantine("entry-" + number);
                        int first = fleet.send(kind, entry) + fleet.send(kind, entry);
                        assertWithMessage("deaths by entry %s", number)
                                .that(first)
                                .isAtMost(2);
                        deaths += first + fleet.send(kind, entry);
                    }
                    assertThat(deaths).isAtMost(10);
                });
    }

    /** Guards whose targets die under the crashing request; each keeps its own quarantine, a dead target comes back. */
    private final class Fleet {
        private final List<CrashQuarantine> guards = new ArrayList<>();
        private int next;

        Fleet(int size) {
            IntStream.range(0, size).forEach(number -> guards.add(quarantine("guard-" + number)));
        }

        /** Sends the crashing request once through an entry, with its retries; returns how many targets died. */
        int send(RequestKind kind, CrashQuarantine entry) {
            if (entry.standing(CRASHING) instanceof Standing.Convicted) {
                return 0;
            }
            boolean isSuspect = entry.standing(CRASHING) instanceof Standing.Suspect;
            RetryPolicy policy = RetryPolicy.of(new Random(2));
            RequestLimits limits = new RequestLimits(kind, 5, policy, RetryBudget.of(100), RetryBudget.of(100));
            RequestProgress.Step step = RequestProgress.start(limits, RetryAllowance.ofAttempts(5), isSuspect);
            int deaths = 0;
            while (!step.progress().isDone()) {
                if (step.progress().out().isEmpty()) {
                    step = step.progress().on(new RequestEvent.RetryDue());
                    continue;
                }
                int attempt = step.progress().out().iterator().next();
                AttemptOutcome outcome = run(step.progress().isSuspect(), entry);
                deaths += outcome instanceof AttemptOutcome.TargetDied ? 1 : 0;
                step = step.progress().on(new RequestEvent.AttemptEnded(attempt, outcome, Duration.ofSeconds(1)));
            }
            return deaths;
        }

        private AttemptOutcome run(boolean isMarked, CrashQuarantine entry) {
            CrashQuarantine guard = guards.get(next++ % guards.size());
            Standing standing = guard.standing(CRASHING);
            if (standing instanceof Standing.Convicted convicted) {
                return new AttemptOutcome.NotRun(NotRunReason.QUARANTINED, convicted.retryAfter());
            }
            boolean isAlone = isMarked || standing instanceof Standing.Suspect;
            if (!isAlone) {
                guard.begin(HEALTHY, false);
            }
            guard.begin(CRASHING, isAlone);
            Optional<Conviction> conviction = guard.targetDied();
            entry.suspect(CRASHING);
            conviction.ifPresent(entry::learn);
            return new AttemptOutcome.TargetDied();
        }

        void checkHealthyRunsEverywhere() {
            for (CrashQuarantine guard : guards) {
                Standing standing = guard.standing(HEALTHY);
                assertThat(standing).isNotInstanceOf(Standing.Convicted.class);
                guard.complete(guard.begin(HEALTHY, standing instanceof Standing.Suspect));
                assertThat(guard.standing(HEALTHY)).isEqualTo(new Standing.Clear());
            }
        }
    }
}
