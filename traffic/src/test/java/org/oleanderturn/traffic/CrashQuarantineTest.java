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
        assertThat(quarantine.targetCrashed()).isEqualTo(Optional.empty());
        assertThat(quarantine.status(CRASHING)).isEqualTo(new QuarantineStatus.Suspect());
        assertThat(quarantine.status(HEALTHY)).isEqualTo(new QuarantineStatus.Suspect());
    }

    @Test
    void shouldAcquitTheHealthyAndConvictTheCrashingWhenEachRanAlone() {
        quarantine.markSuspect(HEALTHY);
        quarantine.markSuspect(CRASHING);
        quarantine.complete(quarantine.begin(HEALTHY, true));
        quarantine.begin(CRASHING, true);
        assertThat(quarantine.targetCrashed().map(QuarantineRecord::fingerprint))
                .isEqualTo(Optional.of(CRASHING));
        assertThat(quarantine.status(HEALTHY)).isEqualTo(new QuarantineStatus.Clear());
        QuarantineStatus.Quarantined convicted = (QuarantineStatus.Quarantined) quarantine.status(CRASHING);
        assertThat(convicted.retryAfter()).isAtLeast(Duration.ofMinutes(5));
    }

    @Test
    void shouldConvictNobodyWhenTheRequestAloneHadBeenGivenUp() {
        quarantine.markSuspect(HEALTHY);
        quarantine.abandon(quarantine.begin(HEALTHY, true));
        assertThat(quarantine.targetCrashed()).isEqualTo(Optional.empty());
        assertThat(quarantine.status(HEALTHY)).isEqualTo(new QuarantineStatus.Suspect());
    }

    @Test
    void shouldRunAloneAgainAndDoubleTheTimeWhenAConvictionHasEnded() {
        quarantine.begin(CRASHING, true);
        long first = quarantine.targetCrashed().orElseThrow().expiresMilliseconds();
        clock.advance(Duration.ofMillis(first).minusNanos(clock.getAsLong()));
        assertThat(quarantine.status(CRASHING)).isEqualTo(new QuarantineStatus.Suspect());
        quarantine.begin(CRASHING, true);
        QuarantineRecord second = quarantine.targetCrashed().orElseThrow();
        assertThat(second.expiresMilliseconds() - first)
                .isEqualTo(Duration.ofMinutes(10).toMillis());
    }

    @Test
    void shouldBoundALearntConvictionAndKeepTheLaterOfTwo() {
        QuarantineRecord endless = new QuarantineRecord(CRASHING, NodeId.of("other"), Long.MAX_VALUE, 1);
        byte[] bytes = Codec.messagePack().encode(endless);
        quarantine.merge(
                Codec.messagePack().decode(bytes, QuarantineRecord.class).get());
        quarantine.merge(new QuarantineRecord(CRASHING, NodeId.of("other"), 0, 1));
        assertThat(quarantine.status(CRASHING)).isInstanceOf(QuarantineStatus.Quarantined.class);
        clock.advance(Duration.ofHours(1));
        assertThat(quarantine.status(CRASHING)).isEqualTo(new QuarantineStatus.Suspect());
    }

    static Stream<RequestKind> kinds() {
        return Arrays.stream(RequestKind.values());
    }

    @ParameterizedTest
    @MethodSource("kinds")
    void shouldLoseAtMostTwoTargetsWhenACallerResendsACrashingRequestToOneEntry(RequestKind kind) {
        FaultMatrixReport.run(
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
        FaultMatrixReport.run(
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
            if (entry.status(CRASHING) instanceof QuarantineStatus.Quarantined) {
                return 0;
            }
            boolean isSuspect = entry.status(CRASHING) instanceof QuarantineStatus.Suspect;
            RetryPolicy policy = RetryPolicy.of(new Random(2));
            AttemptLimits limits = new AttemptLimits(kind, 5, policy, RetryBudget.of(100), RetryBudget.of(100));
            RequestStateMachine.Transition step =
                    RequestStateMachine.start(limits, RetryAllowance.forMaximumAttempts(5), isSuspect);
            int deaths = 0;
            while (!step.next().isDone()) {
                if (step.next().outstanding().isEmpty()) {
                    step = step.next().on(new RequestEvent.RetryDue());
                    continue;
                }
                int attempt = step.next().outstanding().iterator().next();
                AttemptOutcome outcome = run(step.next().isSuspect(), entry);
                deaths += outcome instanceof AttemptOutcome.TargetCrashed ? 1 : 0;
                step = step.next().on(new RequestEvent.AttemptEnded(attempt, outcome, Duration.ofSeconds(1)));
            }
            return deaths;
        }

        private AttemptOutcome run(boolean isMarked, CrashQuarantine entry) {
            CrashQuarantine guard = guards.get(next++ % guards.size());
            QuarantineStatus standing = guard.status(CRASHING);
            if (standing instanceof QuarantineStatus.Quarantined convicted) {
                return new AttemptOutcome.NotRun(NotRunReason.QUARANTINED, convicted.retryAfter());
            }
            boolean isAlone = isMarked || standing instanceof QuarantineStatus.Suspect;
            if (!isAlone) {
                guard.begin(HEALTHY, false);
            }
            guard.begin(CRASHING, isAlone);
            Optional<QuarantineRecord> conviction = guard.targetCrashed();
            entry.markSuspect(CRASHING);
            conviction.ifPresent(entry::merge);
            return new AttemptOutcome.TargetCrashed();
        }

        void checkHealthyRunsEverywhere() {
            for (CrashQuarantine guard : guards) {
                QuarantineStatus standing = guard.status(HEALTHY);
                assertThat(standing).isNotInstanceOf(QuarantineStatus.Quarantined.class);
                guard.complete(guard.begin(HEALTHY, standing instanceof QuarantineStatus.Suspect));
                assertThat(guard.status(HEALTHY)).isEqualTo(new QuarantineStatus.Clear());
            }
        }
    }
}
