package org.oleanderturn.traffic;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.oleanderturn.model.RequestKind;

final class RequestStateMachineTest {
    private static final Duration AMPLE = Duration.ofSeconds(5);
    private static final AttemptOutcome DRAINING =
            new AttemptOutcome.NotRun(NotRunReason.DRAINING, Duration.ofMillis(50));
    private static final String INVARIANTS =
            "one answer; no repeat of a run booking; not-run is true; losers cancelled; two deaths at most; answered at once";

    /** Where the request stands when the fault strikes. */
    enum Step {
        SENT,
        HEDGE_OUT,
        RETRY_PAUSED,
        RETRY_OUT,
        ANSWERING,
        DONE
    }

    /** What strikes, first at the step and then at every attempt that follows. */
    enum Fault {
        REFUSED_BY_DRAIN,
        REFUSED_BY_FULL_QUEUE,
        REFUSED_BY_QUARANTINE,
        NO_ENDPOINT_LEFT,
        TARGET_ERROR,
        TARGET_DIES,
        ANSWER_LOST,
        ANSWER_TRUNCATED,
        CALLER_GONE,
        DEADLINE_PASSED;

        AttemptOutcome outcome() {
            return switch (this) {
                case REFUSED_BY_DRAIN -> DRAINING;
                case REFUSED_BY_FULL_QUEUE -> new AttemptOutcome.NotRun(NotRunReason.QUEUE_FULL, Duration.ofMillis(50));
                case REFUSED_BY_QUARANTINE ->
                    new AttemptOutcome.NotRun(NotRunReason.QUARANTINED, Duration.ofMinutes(5));
                case NO_ENDPOINT_LEFT -> new AttemptOutcome.NotRun(NotRunReason.NO_ENDPOINT, Duration.ofMillis(50));
                case TARGET_ERROR -> new AttemptOutcome.Failed();
                case TARGET_DIES -> new AttemptOutcome.TargetCrashed();
                case ANSWER_LOST, DEADLINE_PASSED -> new AttemptOutcome.Unknown();
                case ANSWER_TRUNCATED -> new AttemptOutcome.ResponseTruncated();
                case CALLER_GONE -> new AttemptOutcome.Cancelled();
            };
        }
    }

    static Stream<Arguments> cells() {
        return Arrays.stream(RequestKind.values())
                .flatMap(kind -> Arrays.stream(Step.values())
                        .flatMap(step -> Arrays.stream(Fault.values()).map(fault -> Arguments.of(kind, step, fault))));
    }

    @AfterAll
    static void report() throws IOException {
        FaultMatrixReport.write();
    }

    @ParameterizedTest
    @MethodSource("cells")
    void shouldKeepEachInvariantWhenAFaultStrikes(RequestKind kind, Step step, Fault fault) {
        FaultMatrixReport.run("forward " + kind, step.name(), fault.name(), INVARIANTS, () -> {
            Course course = new Course(kind, RetryBudget.of(100));
            course.reach(step);
            course.strike(fault);
            course.strike(fault);
            for (int round = 0; round < 10 && !course.progress.isDone(); round++) {
                course.duplicateEverything();
                course.continueWith(fault);
            }
            assertWithMessage("done").that(course.progress.isDone()).isTrue();
            course.duplicateEverything();
            assertWithMessage("answers").that(course.answers).isEqualTo(1);
        });
    }

    @Test
    void shouldKeepEachInvariantWhenEventsComeInAnyOrder() {
        for (long seed = 0; seed < 3000; seed++) {
            Random random = new Random(seed);
            RequestKind kind = List.of(RequestKind.values()).get(random.nextInt(3));
            Course course = new Course(kind, RetryBudget.of(20, random.nextInt(3)));
            try {
                for (int round = 0; round < 40; round++) {
                    course.on(course.anyEvent(random));
                }
                course.on(new RequestEvent.DeadlineExceeded());
                assertThat(course.answers).isEqualTo(1);
            } catch (AssertionError failure) {
                throw new AssertionError("seed " + seed, failure);
            }
        }
    }

    @Test
    void shouldRetryAtOnceWhenAnEndpointDrains() {
        Course course = new Course(RequestKind.BOOKING, RetryBudget.of(20));
        course.on(new RequestEvent.AttemptEnded(1, DRAINING, AMPLE));
        assertThat(course.progress.outstanding()).containsExactly(2);
    }

    @Test
    void shouldRunTheRetryAloneWhenATargetDied() {
        Course course = new Course(RequestKind.DOWNLOAD, RetryBudget.of(20));
        course.on(new RequestEvent.AttemptEnded(1, new AttemptOutcome.TargetCrashed(), AMPLE));
        course.on(new RequestEvent.RetryDue());
        assertThat(course.progress.isSuspect()).isTrue();
        assertThat(course.lastSend.isSuspect()).isTrue();
    }

    @Test
    void shouldNotRetryWhenTheBudgetIsEmpty() {
        Course course = new Course(RequestKind.LOOKUP, RetryBudget.of(0));
        course.on(new RequestEvent.AttemptEnded(1, DRAINING, AMPLE));
        assertThat(course.lastAnswer.status()).isEqualTo(LocalReply.Status.NOT_RUN);
        assertThat(course.lastAnswer.retryAfter()).isPresent();
    }

    @Test
    void shouldNotHedgeASuspect() {
        RetryPolicy policy = RetryPolicy.of(new Random(1));
        AttemptLimits limits = new AttemptLimits(RequestKind.LOOKUP, 3, policy, RetryBudget.of(20), RetryBudget.of(20));
        RequestStateMachine suspect =
                RequestStateMachine.start(limits, RetryAllowance.of(4), true).next();
        assertThat(suspect.on(new RequestEvent.HedgeDue()).actions()).isEmpty();
    }

    @Test
    void shouldDeliverTheHedgeAndCancelTheFirstWhenTheHedgeAnswersFirst() {
        Course course = new Course(RequestKind.LOOKUP, RetryBudget.of(20));
        course.on(new RequestEvent.HedgeDue());
        List<RequestAction> actions = course.on(new RequestEvent.ResponseStarted(2));
        assertThat(actions)
                .containsExactly(new RequestAction.Deliver(2), new RequestAction.Cancel(1))
                .inOrder();
    }

    /** Drives one request and checks the invariants after each event. */
    private static final class Course {
        private final RequestKind kind;
        private final Set<Integer> out = new HashSet<>();
        private RequestStateMachine progress;
        private RequestAction.Send lastSend;
        private LocalReply lastAnswer;
        private int sent;
        private int answers;
        private int deaths;
        private boolean isPossiblyRun;
        private boolean isPaused;

        Course(RequestKind kind, RetryBudget retries) {
            this.kind = kind;
            RetryPolicy policy = RetryPolicy.of(new Random(1));
            AttemptLimits limits = new AttemptLimits(kind, 3, policy, retries, RetryBudget.of(100));
            RequestStateMachine.Transition step =
                    RequestStateMachine.start(limits, RetryAllowance.forMaximumAttempts(3), false);
            progress = step.next();
            step.actions().forEach(this::check);
        }

        void reach(Step step) {
            switch (step) {
                case SENT -> assertThat(out).containsExactly(1);
                case HEDGE_OUT -> on(new RequestEvent.HedgeDue());
                case RETRY_PAUSED -> end(1, new AttemptOutcome.Failed());
                case RETRY_OUT -> end(1, DRAINING);
                case ANSWERING -> on(new RequestEvent.ResponseStarted(1));
                case DONE -> end(1, new AttemptOutcome.Succeeded());
            }
        }

        void strike(Fault fault) {
            switch (fault) {
                case CALLER_GONE -> on(new RequestEvent.CallerCancelled());
                case DEADLINE_PASSED -> on(new RequestEvent.DeadlineExceeded());
                default -> out.stream().sorted().findFirst().ifPresent(attempt -> end(attempt, fault.outcome()));
            }
        }

        void continueWith(Fault fault) {
            on(new RequestEvent.RetryDue());
            strike(fault);
        }

        void duplicateEverything() {
            for (int attempt = 1; attempt <= sent + 1; attempt++) {
                if (!out.contains(attempt)) {
                    assertThat(on(new RequestEvent.ResponseStarted(attempt))).isEmpty();
                    assertThat(on(new RequestEvent.AttemptEnded(attempt, new AttemptOutcome.Succeeded(), AMPLE)))
                            .isEmpty();
                    assertThat(on(new RequestEvent.AttemptEnded(attempt, new AttemptOutcome.Unknown(), AMPLE)))
                            .isEmpty();
                }
            }
        }

        RequestEvent anyEvent(Random random) {
            int attempt = 1 + random.nextInt(3);
            return switch (random.nextInt(12)) {
                case 0 -> new RequestEvent.HedgeDue();
                case 1 -> new RequestEvent.RetryDue();
                case 2 -> new RequestEvent.ResponseStarted(attempt);
                case 3 -> new RequestEvent.AttemptEnded(attempt, new AttemptOutcome.Succeeded(), AMPLE);
                default -> {
                    Fault fault = List.of(Fault.values()).get(random.nextInt(Fault.values().length));
                    Duration remaining = random.nextInt(10) == 0 ? Duration.ZERO : AMPLE;
                    yield new RequestEvent.AttemptEnded(attempt, fault.outcome(), remaining);
                }
            };
        }

        void end(int attempt, AttemptOutcome outcome) {
            on(new RequestEvent.AttemptEnded(attempt, outcome, AMPLE));
        }

        List<RequestAction> on(RequestEvent event) {
            boolean wasAnswered = progress.isResponseStarted();
            if (event instanceof RequestEvent.AttemptEnded ended && out.remove(ended.attempt())) {
                isPossiblyRun |= ended.outcome().mayHaveRun();
                deaths += ended.outcome() instanceof AttemptOutcome.TargetCrashed ? 1 : 0;
            }
            RequestStateMachine.Transition step = progress.on(event);
            progress = step.next();
            isPaused &= !(event instanceof RequestEvent.RetryDue);
            step.actions().forEach(action -> {
                assertWithMessage("sent after the answer")
                        .that(wasAnswered && action instanceof RequestAction.Send)
                        .isFalse();
                check(action);
            });
            boolean isWaiting = !out.isEmpty() || isPaused;
            assertWithMessage("answered at once when nothing is out")
                    .that(isWaiting || progress.isDone())
                    .isTrue();
            assertWithMessage("losers cancelled").that(progress.outstanding()).isEqualTo(out);
            assertWithMessage("deaths").that(deaths).isAtMost(2);
            return step.actions();
        }

        private void check(RequestAction action) {
            switch (action) {
                case RequestAction.Send send -> {
                    boolean isRepeatOfBooking = kind == RequestKind.BOOKING && (isPossiblyRun || !out.isEmpty());
                    assertWithMessage("a booking that may have run")
                            .that(isRepeatOfBooking)
                            .isFalse();
                    assertWithMessage("attempts").that(++sent).isAtMost(3);
                    assertWithMessage("suspect after a death")
                            .that(send.isSuspect())
                            .isEqualTo(deaths > 0);
                    out.add(send.attempt());
                    lastSend = send;
                }
                case RequestAction.Deliver deliver -> answers++;
                case RequestAction.Cancel cancel -> {
                    assertWithMessage("cancel of an attempt that is out")
                            .that(out.remove(cancel.attempt()))
                            .isTrue();
                    isPossiblyRun = true;
                }
                case RequestAction.Reply answer -> checkAnswer(answer.reply());
                case RequestAction.ScheduleRetry pause -> isPaused = true;
            }
        }

        private void checkAnswer(LocalReply answer) {
            boolean isBreakOff = answers == 1 && answer.status() == LocalReply.Status.TRUNCATED;
            boolean isGone = answers == 1 && answer.status() == LocalReply.Status.CANCELLED;
            answers += isBreakOff || isGone ? 0 : 1;
            if (answer.status() == LocalReply.Status.NOT_RUN) {
                assertWithMessage("not run is true")
                        .that(isPossiblyRun || !out.isEmpty())
                        .isFalse();
                assertThat(answer.retryAfter()).isPresent();
            }
            lastAnswer = answer;
        }
    }
}
