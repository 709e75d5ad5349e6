package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.NodeId;

final class CrashLedgerTest {
    private static final Fingerprint REQUEST = fingerprint("/a");
    private static final NodeId NODE = NodeId.of("node");
    private static final NodeId OTHER_NODE = NodeId.of("other");
    private static final int SEEDS = 300;
    private static final int OPERATIONS = 60;

    private long now = 1_000_000;
    private final CrashLedger ledger = CrashLedger.of(() -> now);

    private static Fingerprint fingerprint(String path) {
        return Fingerprint.ofRequest("GET", "host.example", path, RequestSender.unknown(), new byte[0]);
    }

    @Test
    void shouldCountOnceWhenCopiesThatWereInFlightTogetherEndTheirTargets() {
        CrashLedger.Generation first = ledger.generation(REQUEST);
        CrashLedger.Generation second = ledger.generation(REQUEST);
        ledger.recordCrash(REQUEST, first, NODE);
        ledger.recordCrash(REQUEST, second, NODE);
        assertThat(ledger.verdict(REQUEST)).isEqualTo(new CrashVerdict.Suspect(1));
    }

    @Test
    void shouldCountTwiceWhenCopiesEndTheTargetsOfSeveralNodesTogether() {
        CrashLedger.Generation generation = ledger.generation(REQUEST);
        ledger.recordCrash(REQUEST, generation, NODE);
        ledger.recordCrash(REQUEST, generation, OTHER_NODE);
        ledger.recordCrash(REQUEST, generation, NodeId.of("third"));
        assertThat(refusal()).isEqualTo(Duration.ofSeconds(2));
        now += 2_000;
        assertThat(ledger.verdict(REQUEST)).isEqualTo(new CrashVerdict.Suspect(2));
    }

    @Test
    void shouldRefuseForLongerWhenEachRunInKnowledgeOfTheLastEndsItsTarget() {
        ledger.recordCrash(REQUEST, ledger.generation(REQUEST), NODE);
        assertThat(crashInTrial()).isTrue();
        assertThat(refusal()).isEqualTo(Duration.ofSeconds(2));
        now += 2_000;
        assertThat(crashInTrial()).isTrue();
        assertThat(refusal()).isEqualTo(Duration.ofSeconds(10));
        now += 10_000;
        assertThat(crashInTrial()).isTrue();
        assertThat(refusal()).isEqualTo(Duration.ofHours(6));
    }

    @Test
    void shouldRefuseOthersWhileOneRunOfASuspectIsTried() {
        ledger.recordCrash(REQUEST, ledger.generation(REQUEST), NODE);
        assertThat(ledger.beginTrial(REQUEST, NODE).isPresent()).isTrue();
        assertThat(ledger.beginTrial(REQUEST, NODE).isPresent()).isFalse();
        assertThat(ledger.verdict(REQUEST)).isInstanceOf(CrashVerdict.Quarantined.class);
    }

    @Test
    void shouldClearARequestAtOnceWhenItCompletes() {
        CrashLedger.Generation beforeCompletion = ledger.generation(REQUEST);
        ledger.recordCrash(REQUEST, beforeCompletion, NODE);
        var _ = ledger.beginTrial(REQUEST, NODE);
        ledger.recordCompletion(REQUEST);
        assertThat(ledger.verdict(REQUEST)).isEqualTo(new CrashVerdict.Clear());
        assertThat(ledger.hasSuspects()).isFalse();
        ledger.recordCrash(REQUEST, beforeCompletion, NODE);
        assertThat(ledger.verdict(REQUEST)).isEqualTo(new CrashVerdict.Clear());
    }

    @Test
    void shouldSuspectARequestAgainWhenItEndsATargetAfterItWasCleared() {
        ledger.recordCrash(REQUEST, CrashLedger.Generation.unsuspected(), NODE);
        ledger.recordCompletion(REQUEST);
        ledger.recordCrash(REQUEST, CrashLedger.Generation.unsuspected(), NODE);
        assertThat(ledger.verdict(REQUEST)).isEqualTo(new CrashVerdict.Suspect(1));
    }

    @Test
    void shouldAllowAnotherTrialAtOnceWhenOneEndsWithoutEvidence() {
        ledger.recordCrash(REQUEST, ledger.generation(REQUEST), NODE);
        CrashLedger.Generation trial = ledger.beginTrial(REQUEST, NODE).orElseThrow();
        ledger.withdrawTrial(REQUEST, trial);
        assertThat(ledger.verdict(REQUEST)).isEqualTo(new CrashVerdict.Suspect(1));
        ledger.recordCrash(REQUEST, trial, NODE);
        assertThat(ledger.verdict(REQUEST)).isInstanceOf(CrashVerdict.Quarantined.class);
    }

    @Test
    void shouldCountATrialWhoseWitnessesAreAllGoneWhenOthersHeardOfItsBegin() {
        CrashLedger other = CrashLedger.of(() -> now);
        ledger.recordCrash(REQUEST, ledger.generation(REQUEST), NODE);
        var _ = ledger.beginTrial(REQUEST, NODE);
        var _ = other.merge(ledger.suspicions());
        now += 2_000;
        assertThat(other.verdict(REQUEST)).isEqualTo(new CrashVerdict.Suspect(2));
    }

    @Test
    void shouldNotRevertToSuspicionWhenAnOlderCopyArrivesAfterTheCompletion() {
        ledger.recordCrash(REQUEST, ledger.generation(REQUEST), NODE);
        List<CrashSuspicion> older = ledger.suspicions();
        ledger.recordCompletion(REQUEST);
        var _ = ledger.merge(older);
        assertThat(ledger.verdict(REQUEST)).isEqualTo(new CrashVerdict.Clear());
    }

    @Test
    void shouldForgetARequestWhenItsLifetimeIsOver() {
        ledger.recordCrash(REQUEST, ledger.generation(REQUEST), NODE);
        List<CrashSuspicion> copy = ledger.suspicions();
        now += Duration.ofMinutes(30).toMillis();
        assertThat(ledger.verdict(REQUEST)).isEqualTo(new CrashVerdict.Clear());
        assertThat(ledger.suspicions()).isEmpty();
        CrashSuspicion aged = new CrashSuspicion(
                REQUEST,
                0,
                0,
                1,
                List.of(NODE),
                false,
                copy.getFirst().ageMilliseconds() + Duration.ofMinutes(30).toMillis());
        var _ = ledger.merge(List.of(aged));
        assertThat(ledger.suspicions()).isEmpty();
        ledger.forgetExpired();
        assertThat(ledger.hasSuspects()).isFalse();
    }

    @Test
    void shouldKeepQuarantinedRequestsWhenThereAreTooManySuspects() {
        var _ = ledger.merge(List.of(new CrashSuspicion(REQUEST, 0, 0, 3, List.of(NODE), false, 0)));
        for (int number = 0; number < CrashLedger.MAXIMUM_ENTRIES + 10; number++) {
            now++;
            Fingerprint suspect = fingerprint("/s/" + number);
            ledger.recordCrash(suspect, ledger.generation(suspect), NODE);
        }
        assertThat(ledger.verdict(REQUEST)).isInstanceOf(CrashVerdict.Quarantined.class);
        Fingerprint oldest = fingerprint("/s/0");
        assertThat(ledger.verdict(oldest)).isEqualTo(new CrashVerdict.Clear());
    }

    @Test
    void shouldParseWhatItWroteAndNothingElse() {
        CrashSuspicion suspicion = new CrashSuspicion(REQUEST, 1, 2, 3, List.of(NODE, OTHER_NODE), true, 40);
        assertThat(CrashSuspicion.parse(suspicion.headerValue())).isEqualTo(Optional.of(suspicion));
        assertThat(CrashSuspicion.parse(suspicion.headerValue() + ",1")).isEqualTo(Optional.empty());
        assertThat(CrashSuspicion.parse("")).isEqualTo(Optional.empty());
    }

    /** Replicas that change at random and exchange copies late, twice and out of order become alike. */
    @Test
    void shouldConvergeWhenCopiesAreDelayedRepeatedAndReordered() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            List<CrashLedger> replicas =
                    List.of(CrashLedger.of(() -> now), CrashLedger.of(() -> now), CrashLedger.of(() -> now));
            List<List<CrashSuspicion>> copies = new ArrayList<>();
            for (int operation = 0; operation < OPERATIONS; operation++) {
                change(replicas.get(random.nextInt(replicas.size())), random);
                copies.add(replicas.get(random.nextInt(replicas.size())).suspicions());
                var _ = replicas.get(random.nextInt(replicas.size())).merge(copies.get(random.nextInt(copies.size())));
                now += random.nextInt(1_000);
            }
            for (CrashLedger replica : replicas) {
                for (CrashLedger other : replicas) {
                    var _ = other.merge(replica.suspicions());
                }
            }
            for (CrashLedger replica : replicas) {
                assertThat(replica.digest()).isEqualTo(replicas.getFirst().digest());
            }
        }
    }

    private static void change(CrashLedger replica, Random random) {
        switch (random.nextInt(4)) {
            case 0 -> replica.recordCrash(REQUEST, replica.generation(REQUEST), node(random));
            case 1 ->
                replica.beginTrial(REQUEST, NODE).ifPresent(trial -> {
                    if (random.nextBoolean()) {
                        replica.withdrawTrial(REQUEST, trial);
                    }
                });
            case 2 -> replica.recordCompletion(REQUEST);
            default -> replica.recordCrash(REQUEST, new CrashLedger.Generation(0, 0, 0, false), node(random));
        }
    }

    private static NodeId node(Random random) {
        return NodeId.of("node-" + random.nextInt(3));
    }

    private boolean crashInTrial() {
        Optional<CrashLedger.Generation> trial = ledger.beginTrial(REQUEST, NODE);
        trial.ifPresent(generation -> ledger.recordCrash(REQUEST, generation, NODE));
        return trial.isPresent();
    }

    private Duration refusal() {
        return ledger.verdict(REQUEST) instanceof CrashVerdict.Quarantined quarantined
                ? quarantined.remaining()
                : Duration.ZERO;
    }
}
