package org.oleanderturn.mesh;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oleanderturn.model.NodeId;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.traffic.CrashLedger;
import org.oleanderturn.traffic.CrashSuspicion;
import org.oleanderturn.traffic.CrashVerdict;
import org.oleanderturn.traffic.RequestSender;

final class CrashMonitorTest {
    private static final NodeId ENTRY = NodeId.of("entry");
    private static final NodeId GUARD = NodeId.of("guard");
    private static final TargetStart TARGET = new TargetStart("i-1", 1);
    private static final String ATTEMPT = "a1";

    private final RequestIdentity request = RequestIdentity.of(
            "GET", "host.example", "/a/1", RequestSender.of(ServiceName.of("caller"), Optional.empty()), new byte[0]);
    private final CrashLedger ledger = CrashLedger.of(() -> 0);
    private final CrashMonitor monitor = CrashMonitor.of(ENTRY, ledger, _ -> {}, () -> 0);

    @Test
    void shouldNotSuspectARequestWhenItsAttemptNeverReachedTheNodeThatEnded() {
        CrashMonitor.Run attempt = monitor.beginAttempt(GUARD, ATTEMPT, request);
        monitor.endNode(GUARD);
        monitor.completeAttempt(GUARD, attempt);
        assertThat(monitor.verdict(request)).isEqualTo(new CrashVerdict.Clear());
    }

    @Test
    void shouldSuspectARequestWhenItsAttemptIsGivenUpAfterTheNodeEnded() {
        CrashMonitor.Run attempt = monitor.beginAttempt(GUARD, ATTEMPT, request);
        monitor.endNode(GUARD);
        monitor.giveUpAttempt(GUARD, attempt);
        assertThat(monitor.verdict(request)).isEqualTo(new CrashVerdict.Suspect(1));
    }

    @Test
    void shouldSuspectARequestWhenItsNodeEndsSoonAfterTheAttemptWasGivenUp() {
        CrashMonitor.Run attempt = monitor.beginAttempt(GUARD, ATTEMPT, request);
        monitor.giveUpAttempt(GUARD, attempt);
        monitor.endNode(GUARD);
        assertThat(monitor.verdict(request)).isEqualTo(new CrashVerdict.Suspect(1));
    }

    @Test
    void shouldKeepTheSuspicionElsewhereBeforeATrialBegins() {
        List<CrashSuspicion> kept = new ArrayList<>();
        monitor.onTrial(kept::add);
        monitor.beginRun(TARGET, ATTEMPT, request);
        monitor.endTarget(TARGET);
        assertThat(kept).isEmpty();
        monitor.beginRun(TARGET, ATTEMPT, request);
        assertThat(kept.stream().map(CrashSuspicion::level)).containsExactly(2);
        assertThat(kept.getFirst().isTrial()).isTrue();
    }
}
