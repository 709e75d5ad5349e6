package org.oleanderturn.claims;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.ServiceName;
import org.oleanderturn.store.FakeStore;

/** Runs one booking with scripted failures of store calls, and checks the invariants of claims after each step. */
final class ClaimScenario {
    /** The operation whose store calls fail. */
    enum Protocol {
        CLAIM,
        COMPLETE,
        RELEASE
    }

    /** How claims are stored. */
    enum Strategy {
        KEYED,
        JOURNAL
    }

    /** When a second caller first uses the same key. */
    enum SecondCaller {
        NONE,
        BEFORE_EFFECT,
        AFTER_PROTOCOL
    }

    /** When the first caller's process crashes or freezes. */
    enum Crash {
        NONE,
        BEFORE_RUN,
        AFTER_RUN,
        FROZEN_BEFORE_RUN
    }

    /** When writes that the store delayed take effect. */
    enum LateEffect {
        AT_ONCE,
        AFTER_SECOND_CALLER,
        AFTER_SETTLING
    }

    record Case(
            Strategy strategy,
            Protocol protocol,
            int step,
            FakeStore.Fault fault,
            int repeats,
            SecondCaller secondCaller,
            Crash crash,
            LateEffect lateEffect) {}

    private static final IdempotencyKey KEY = new IdempotencyKey(ServiceName.of("bookings"), "order-1");
    private static final Digest FINGERPRINT = Digest.compute(new byte[] {1});

    private final Case scenario;
    private final long[] clock = {1_000};
    private final FakeStore store = FakeStore.of(() -> clock[0]);
    private final ClaimSettings settings = ClaimSettings.defaults();
    private final BookingClaims first;
    private final BookingClaims second;
    private final List<ClaimToken> runs = new ArrayList<>();
    private final Map<ClaimToken, RecordedAnswer> answers = new HashMap<>();
    private boolean isFirstCrashed;
    private boolean isFaultReached;

    ClaimScenario(Case scenario, long seed) {
        this.scenario = scenario;
        this.first = claims(seed);
        this.second = claims(seed + 1);
    }

    /** Runs the scenario and returns whether the scripted fault was reached. */
    boolean run() {
        runFirst();
        applyLateWrites(LateEffect.AT_ONCE);
        if (scenario.secondCaller() == SecondCaller.AFTER_PROTOCOL) {
            claimAndRun(second);
        }
        applyLateWrites(LateEffect.AFTER_SECOND_CALLER);
        retryPendingSettlements();
        applyLateWrites(LateEffect.AFTER_SETTLING);
        retryPendingSettlements();
        claimAndRun(second);
        store.clearFaults();
        retryPendingSettlements();
        claimAndRun(second);
        store.applyLateWrites();
        claimAndRun(first);
        checkKeyNotBlocked();
        return isFaultReached;
    }

    private BookingClaims claims(long seed) {
        return switch (scenario.strategy()) {
            case KEYED -> BookingClaims.of(store, settings, () -> clock[0], new Random(seed));
            case JOURNAL -> BookingClaims.withJournals(store, 1, settings, () -> clock[0], new Random(seed));
        };
    }

    // -- steps

    private void runFirst() {
        scheduleFault(Protocol.CLAIM);
        if (!(first.claim(KEY, FINGERPRINT) instanceof ClaimDecision.Granted(ClaimHandle handle))) {
            return;
        }
        checkDurable(handle);
        switch (scenario.crash()) {
            case BEFORE_RUN -> isFirstCrashed = true;
            case FROZEN_BEFORE_RUN -> resumeAfterStartWindow(handle);
            case AFTER_RUN -> {
                start(first, handle);
                isFirstCrashed = true;
            }
            case NONE -> finish(handle);
        }
        check(runs.size() <= 1, "a booking runs at most once");
    }

    private void resumeAfterStartWindow(ClaimHandle handle) {
        clock[0] += settings.startWithin().toMillis();
        claimAndRun(second);
        check(!first.start(handle), "a process frozen past the start window does not start the booking");
        scheduleFault(Protocol.RELEASE);
        var _ = first.release(handle);
    }

    private void finish(ClaimHandle handle) {
        if (scenario.protocol() == Protocol.RELEASE) {
            check(first.start(handle), "a granted claim starts");
            scheduleFault(Protocol.RELEASE);
            var _ = first.release(handle);
            return;
        }
        start(first, handle);
        scheduleFault(Protocol.COMPLETE);
        var _ = first.complete(handle, answers.get(handle.token()));
    }

    private void claimAndRun(BookingClaims claims) {
        switch (claims.claim(KEY, FINGERPRINT)) {
            case ClaimDecision.Granted(ClaimHandle handle) -> {
                checkDurable(handle);
                start(claims, handle);
                var _ = claims.complete(handle, answers.get(handle.token()));
            }
            case ClaimDecision.AlreadyFinished(RecordedAnswer answer) -> checkReplay(answer);
            case ClaimDecision.KeyReused _ -> check(false, "an unchanged request is not reported as key reuse");
            default -> {}
        }
    }

    private void start(BookingClaims claims, ClaimHandle handle) {
        check(claims.start(handle), "a granted claim starts");
        check(!claims.start(handle), "a handle starts once");
        runs.add(handle.token());
        answers.put(handle.token(), answerOf(handle.token()));
        check(runs.size() == 1, "a booking runs at most once");
    }

    private void retryPendingSettlements() {
        if (!isFirstCrashed) {
            var _ = first.retryPendingSettlements();
        }
        var _ = second.retryPendingSettlements();
        check(runs.size() <= 1, "a booking runs at most once");
    }

    private void scheduleFault(Protocol protocol) {
        if (protocol != scenario.protocol()) {
            return;
        }
        for (int call = 0; call < scenario.step(); call++) {
            store.runBeforeCall(() -> {});
        }
        store.runBeforeCall(() -> {
            isFaultReached = true;
            if (scenario.secondCaller() == SecondCaller.BEFORE_EFFECT) {
                claimAndRun(second);
            }
            for (int repeat = 0; repeat < scenario.repeats(); repeat++) {
                store.scriptFaults(scenario.fault());
            }
        });
    }

    private void applyLateWrites(LateEffect when) {
        if (when == scenario.lateEffect()) {
            store.applyLateWrites();
        }
    }

    // -- invariants

    private void checkDurable(ClaimHandle handle) {
        check(
                stored().stream().anyMatch(record -> record.equals(handle.record())),
                "a claim is durable before it is granted");
    }

    private void checkReplay(RecordedAnswer answer) {
        boolean isComplete = answers.values().stream()
                .anyMatch(recorded -> recorded.status() == answer.status()
                        && recorded.headers().equals(answer.headers())
                        && Arrays.equals(recorded.body(), answer.body()));
        check(isComplete, "a replay is the complete recorded answer");
    }

    /** Checks that the key of a booking that never ran can be claimed again, unless the first caller crashed. */
    private void checkKeyNotBlocked() {
        if (!isFirstCrashed) {
            check(runs.size() == 1, "a booking that did not run can run when it is retried");
        }
    }

    private List<ClaimRecord> stored() {
        return store.contents().values().stream()
                .flatMap(bytes -> switch (scenario.strategy()) {
                    case KEYED ->
                        Stream.of(Codec.messagePack()
                                .decode(bytes, ClaimRecord.class)
                                .get());
                    case JOURNAL ->
                        ClaimJournal.decode(bytes).get().entries().values().stream()
                                .map(ClaimJournal.Entry::record);
                })
                .toList();
    }

    private void check(boolean holds, String invariant) {
        if (!holds) {
            throw new AssertionError(invariant + ": " + scenario + ", runs " + runs.size());
        }
    }

    private static RecordedAnswer answerOf(ClaimToken token) {
        byte[] body = ("booked by " + token.text()).getBytes(StandardCharsets.UTF_8);
        return RecordedAnswer.of(201, List.of(new RecordedAnswer.Header("Location", "/bookings/1")), body);
    }
}
