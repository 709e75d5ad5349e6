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

final class CrashQuarantineTest {
    private static final Fingerprint CRASHING = fingerprint("/crash");
    private static final Fingerprint HEALTHY = fingerprint("/healthy");
    private final FakeClock clock = new FakeClock();
    private final CrashQuarantine quarantine = quarantine("guard-0");

    private static Fingerprint fingerprint(String path) {
        return Fingerprint.ofRequest("GET", "host.example", path, RequestSender.unknown(), new byte[0]);
    }

    private CrashQuarantine quarantine(String node) {
        return CrashQuarantine.of(NodeId.of(node), clock.milliseconds(), new Random(5));
    }

    @Test
    void shouldMarkAllSuspectAndQuarantineNoneWhenSeveralWereInFlight() {
        quarantine.begin(CRASHING, false);
        quarantine.begin(HEALTHY, false);
        assertThat(quarantine.targetCrashed()).isEqualTo(Optional.empty());
        assertThat(quarantine.status(CRASHING)).isEqualTo(new QuarantineStatus.Suspect());
        assertThat(quarantine.status(HEALTHY)).isEqualTo(new QuarantineStatus.Suspect());
    }

    @Test
    void shouldClearTheHealthyAndQuarantineTheCrashingWhenEachRanExclusively() {
        quarantine.markSuspect(HEALTHY);
        quarantine.markSuspect(CRASHING);
        quarantine.complete(quarantine.begin(HEALTHY, true));
        quarantine.begin(CRASHING, true);
        assertThat(quarantine.targetCrashed().map(QuarantineRecord::fingerprint))
                .isEqualTo(Optional.of(CRASHING));
        assertThat(quarantine.status(HEALTHY)).isEqualTo(new QuarantineStatus.Clear());
        QuarantineStatus.Quarantined quarantined = (QuarantineStatus.Quarantined) quarantine.status(CRASHING);
        assertThat(quarantined.retryAfter()).isAtLeast(Duration.ofMinutes(5));
    }

    @Test
    void shouldQuarantineNothingWhenTheExclusiveRequestWasAbandoned() {
        quarantine.markSuspect(HEALTHY);
        quarantine.abandon(quarantine.begin(HEALTHY, true));
        assertThat(quarantine.targetCrashed()).isEqualTo(Optional.empty());
        assertThat(quarantine.status(HEALTHY)).isEqualTo(new QuarantineStatus.Suspect());
    }

    @Test
    void shouldRunExclusivelyAgainAndDoubleTheTimeWhenAQuarantineHasExpired() {
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
    void shouldLimitAMergedRecordAndKeepTheLaterWhenTwoAreMerged() {
        QuarantineRecord unlimited = new QuarantineRecord(CRASHING, NodeId.of("other"), Long.MAX_VALUE, 1);
        byte[] bytes = Codec.messagePack().encode(unlimited);
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
                "quarantine " + kind, "RESENT_TO_ONE_ENTRY", "REQUEST_CRASHES_TARGETS", "at most two targets", () -> {
                    Fleet fleet = new Fleet(10);
                    CrashQuarantine entry = quarantine("entry");
                    int crashes = IntStream.range(0, 20)
                            .map(attempt -> fleet.send(kind, entry))
                            .sum();
                    assertThat(crashes).isAtMost(2);
                    fleet.checkHealthyRunsEverywhere();
                });
    }

    @ParameterizedTest
    @MethodSource("kinds")
    void shouldLoseAtMostTwoTargetsForEachEntryWhenQuarantinesAreNotShared(RequestKind kind) {
        FaultMatrixReport.run(
                "quarantine " + kind,
                "RESENT_TO_EACH_ENTRY",
                "GOSSIP_LOST",
                "at most two targets for each entry",
                () -> {
                    Fleet fleet = new Fleet(10);
                    int crashes = 0;
                    for (int number = 0; number < 5; number++) {
                        CrashQuarantine entry = quarantine("entry-" + number);
                        int first = fleet.send(kind, entry) + fleet.send(kind, entry);
                        assertWithMessage("crashes by entry %s", number)
                                .that(first)
                                .isAtMost(2);
                        crashes += first + fleet.send(kind, entry);
                    }
                    assertThat(crashes).isAtMost(10);
                });
    }

    /** Guards whose targets crash under the crashing request and come back; each has its own quarantine. */
    private final class Fleet {
        private final List<CrashQuarantine> guards = new ArrayList<>();
        private int next;

        Fleet(int size) {
            IntStream.range(0, size).forEach(number -> guards.add(quarantine("guard-" + number)));
        }

        /** Sends the crashing request once through an entry, with its retries; returns how many targets crashed. */
        int send(RequestKind kind, CrashQuarantine entry) {
            if (entry.status(CRASHING) instanceof QuarantineStatus.Quarantined) {
                return 0;
            }
            boolean isSuspect = entry.status(CRASHING) instanceof QuarantineStatus.Suspect;
            RetryPolicy policy = RetryPolicy.of(new Random(2));
            AttemptLimits limits = new AttemptLimits(kind, 5, policy, RetryBudget.of(100), RetryBudget.of(100));
            RequestStateMachine.Transition transition =
                    RequestStateMachine.start(limits, RetryAllowance.forMaximumAttempts(5), isSuspect);
            int crashes = 0;
            while (!transition.next().isDone()) {
                if (transition.next().outstanding().isEmpty()) {
                    transition = transition.next().on(new RequestEvent.RetryDue());
                    continue;
                }
                int attempt = transition.next().outstanding().iterator().next();
                AttemptOutcome outcome = run(transition.next().isSuspect(), entry);
                crashes += outcome instanceof AttemptOutcome.TargetCrashed ? 1 : 0;
                transition =
                        transition.next().on(new RequestEvent.AttemptEnded(attempt, outcome, Duration.ofSeconds(1)));
            }
            return crashes;
        }

        private AttemptOutcome run(boolean isSuspect, CrashQuarantine entry) {
            CrashQuarantine guard = guards.get(next++ % guards.size());
            QuarantineStatus status = guard.status(CRASHING);
            if (status instanceof QuarantineStatus.Quarantined quarantined) {
                return new AttemptOutcome.NotRun(NotRunReason.QUARANTINED, quarantined.retryAfter());
            }
            boolean isExclusive = isSuspect || status instanceof QuarantineStatus.Suspect;
            if (!isExclusive) {
                guard.begin(HEALTHY, false);
            }
            guard.begin(CRASHING, isExclusive);
            Optional<QuarantineRecord> record = guard.targetCrashed();
            entry.markSuspect(CRASHING);
            record.ifPresent(entry::merge);
            return new AttemptOutcome.TargetCrashed();
        }

        void checkHealthyRunsEverywhere() {
            for (CrashQuarantine guard : guards) {
                QuarantineStatus status = guard.status(HEALTHY);
                assertThat(status).isNotInstanceOf(QuarantineStatus.Quarantined.class);
                guard.complete(guard.begin(HEALTHY, status instanceof QuarantineStatus.Suspect));
                assertThat(guard.status(HEALTHY)).isEqualTo(new QuarantineStatus.Clear());
            }
        }
    }
}
