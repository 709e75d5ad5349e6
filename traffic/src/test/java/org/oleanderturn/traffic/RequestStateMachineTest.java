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
    private static final Duration AMPLE_TIME = Duration.ofSeconds(5);
    private static final AttemptOutcome DRAINING =
            new AttemptOutcome.NotRun(NotRunReason.DRAINING, Duration.ofMillis(50));
    private static final String INVARIANTS =
            "one response; no unsafe booking retry; not-run is true; others cancelled; two crashes at most; immediate reply";

    /** The state of the request when the fault occurs. */
    enum Step {
        SENT,
        HEDGE_OUT,
        RETRY_PAUSED,
        RETRY_OUT,
        ANSWERING,
        DONE
    }

    /** The fault, injected at the step and then in every later attempt. */
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

    static Stream<Arguments> cases() {
        return Arrays.stream(RequestKind.values())
                .flatMap(kind -> Arrays.stream(Step.values())
                        .flatMap(step -> Arrays.stream(Fault.values()).map(fault -> Arguments.of(kind, step, fault))));
    }

    @AfterAll
    static void report() throws IOException {
        FaultMatrixReport.write();
    }

    @ParameterizedTest
    @MethodSource("cases")
    void shouldKeepEachInvariantWhenAFaultOccurs(RequestKind kind, Step step, Fault fault) {
        FaultMatrixReport.run("forward " + kind, step.name(), fault.name(), INVARIANTS, () -> {
            RequestDriver driver = new RequestDriver(kind, RetryBudget.of(100));
            driver.reach(step);
            driver.inject(fault);
            driver.inject(fault);
            for (int round = 0; round < 10 && !driver.state.isDone(); round++) {
                driver.sendDuplicates();
                driver.retryWith(fault);
            }
            assertWithMessage("done").that(driver.state.isDone()).isTrue();
            driver.sendDuplicates();
            assertWithMessage("responses").that(driver.responses).isEqualTo(1);
        });
    }

    @Test
    void shouldKeepEachInvariantWhenEventsComeInAnyOrder() {
        for (long seed = 0; seed < 3000; seed++) {
            Random random = new Random(seed);
            RequestKind kind = List.of(RequestKind.values()).get(random.nextInt(3));
            RequestDriver driver = new RequestDriver(kind, RetryBudget.of(20, random.nextInt(3)));
            try {
                for (int round = 0; round < 40; round++) {
                    driver.on(driver.randomEvent(random));
                }
                driver.on(new RequestEvent.DeadlineExceeded());
                assertThat(driver.responses).isEqualTo(1);
            } catch (AssertionError failure) {
                throw new AssertionError("seed " + seed, failure);
            }
        }
    }

    @Test
    void shouldRetryImmediatelyWhenAnEndpointDrains() {
        RequestDriver driver = new RequestDriver(RequestKind.BOOKING, RetryBudget.of(20));
        driver.on(new RequestEvent.AttemptEnded(1, DRAINING, AMPLE_TIME));
        assertThat(driver.state.outstanding()).containsExactly(2);
    }

    @Test
    void shouldRunTheRetryExclusivelyWhenATargetCrashed() {
        RequestDriver driver = new RequestDriver(RequestKind.DOWNLOAD, RetryBudget.of(20));
        driver.on(new RequestEvent.AttemptEnded(1, new AttemptOutcome.TargetCrashed(), AMPLE_TIME));
        driver.on(new RequestEvent.RetryDue());
        assertThat(driver.state.isSuspect()).isTrue();
        assertThat(driver.lastSend.isSuspect()).isTrue();
    }

    @Test
    void shouldNotRetryWhenTheBudgetIsEmpty() {
        RequestDriver driver = new RequestDriver(RequestKind.LOOKUP, RetryBudget.of(0));
        driver.on(new RequestEvent.AttemptEnded(1, DRAINING, AMPLE_TIME));
        assertThat(driver.lastReply.status()).isEqualTo(LocalReply.Status.NOT_RUN);
        assertThat(driver.lastReply.retryAfter()).isPresent();
    }

    @Test
    void shouldNotHedgeWhenTheRequestIsSuspect() {
        RetryPolicy policy = RetryPolicy.of(new Random(1));
        AttemptLimits limits = new AttemptLimits(RequestKind.LOOKUP, 3, policy, RetryBudget.of(20), RetryBudget.of(20));
        RequestStateMachine suspect =
                RequestStateMachine.start(limits, RetryAllowance.of(4), true).next();
        assertThat(suspect.on(new RequestEvent.HedgeDue()).actions()).isEmpty();
    }

    @Test
    void shouldDeliverTheHedgeAndCancelTheFirstWhenTheHedgeRespondsFirst() {
        RequestDriver driver = new RequestDriver(RequestKind.LOOKUP, RetryBudget.of(20));
        driver.on(new RequestEvent.HedgeDue());
        List<RequestAction> actions = driver.on(new RequestEvent.ResponseStarted(2));
        assertThat(actions)
                .containsExactly(new RequestAction.Deliver(2), new RequestAction.Cancel(1))
                .inOrder();
    }

    /** Sends events to one request and checks the invariants after each. */
    private static final class RequestDriver {
        private final RequestKind kind;
        private final Set<Integer> outstanding = new HashSet<>();
        private RequestStateMachine state;
        private RequestAction.Send lastSend;
        private LocalReply lastReply;
        private int sent;
        private int responses;
        private int crashes;
        private boolean mayHaveRun;
        private boolean isRetryScheduled;

        RequestDriver(RequestKind kind, RetryBudget retries) {
            this.kind = kind;
            RetryPolicy policy = RetryPolicy.of(new Random(1));
            AttemptLimits limits = new AttemptLimits(kind, 3, policy, retries, RetryBudget.of(100));
            RequestStateMachine.Transition transition =
                    RequestStateMachine.start(limits, RetryAllowance.forMaximumAttempts(3), false);
            state = transition.next();
            transition.actions().forEach(this::check);
        }

        void reach(Step step) {
            switch (step) {
                case SENT -> assertThat(outstanding).containsExactly(1);
                case HEDGE_OUT -> on(new RequestEvent.HedgeDue());
                case RETRY_PAUSED -> end(1, new AttemptOutcome.Failed());
                case RETRY_OUT -> end(1, DRAINING);
                case ANSWERING -> on(new RequestEvent.ResponseStarted(1));
                case DONE -> end(1, new AttemptOutcome.Succeeded());
            }
        }

        void inject(Fault fault) {
            switch (fault) {
                case CALLER_GONE -> on(new RequestEvent.CallerCancelled());
                case DEADLINE_PASSED -> on(new RequestEvent.DeadlineExceeded());
                default ->
                    outstanding.stream().sorted().findFirst().ifPresent(attempt -> end(attempt, fault.outcome()));
            }
        }

        void retryWith(Fault fault) {
            on(new RequestEvent.RetryDue());
            inject(fault);
        }

        void sendDuplicates() {
            for (int attempt = 1; attempt <= sent + 1; attempt++) {
                if (!outstanding.contains(attempt)) {
                    assertThat(on(new RequestEvent.ResponseStarted(attempt))).isEmpty();
                    assertThat(on(new RequestEvent.AttemptEnded(attempt, new AttemptOutcome.Succeeded(), AMPLE_TIME)))
                            .isEmpty();
                    assertThat(on(new RequestEvent.AttemptEnded(attempt, new AttemptOutcome.Unknown(), AMPLE_TIME)))
                            .isEmpty();
                }
            }
        }

        RequestEvent randomEvent(Random random) {
            int attempt = 1 + random.nextInt(3);
            return switch (random.nextInt(12)) {
                case 0 -> new RequestEvent.HedgeDue();
                case 1 -> new RequestEvent.RetryDue();
                case 2 -> new RequestEvent.ResponseStarted(attempt);
                case 3 -> new RequestEvent.AttemptEnded(attempt, new AttemptOutcome.Succeeded(), AMPLE_TIME);
                default -> {
                    Fault fault = List.of(Fault.values()).get(random.nextInt(Fault.values().length));
                    Duration remaining = random.nextInt(10) == 0 ? Duration.ZERO : AMPLE_TIME;
                    yield new RequestEvent.AttemptEnded(attempt, fault.outcome(), remaining);
                }
            };
        }

        void end(int attempt, AttemptOutcome outcome) {
            on(new RequestEvent.AttemptEnded(attempt, outcome, AMPLE_TIME));
        }

        List<RequestAction> on(RequestEvent event) {
            boolean wasResponseStarted = state.isResponseStarted();
            if (event instanceof RequestEvent.AttemptEnded ended && outstanding.remove(ended.attempt())) {
                mayHaveRun |= ended.outcome().mayHaveRun();
                crashes += ended.outcome() instanceof AttemptOutcome.TargetCrashed ? 1 : 0;
            }
            RequestStateMachine.Transition transition = state.on(event);
            state = transition.next();
            isRetryScheduled &= !(event instanceof RequestEvent.RetryDue);
            transition.actions().forEach(action -> {
                assertWithMessage("sent after the response")
                        .that(wasResponseStarted && action instanceof RequestAction.Send)
                        .isFalse();
                check(action);
            });
            boolean isWaiting = !outstanding.isEmpty() || isRetryScheduled;
            assertWithMessage("done unless an attempt or a retry is pending")
                    .that(isWaiting || state.isDone())
                    .isTrue();
            assertWithMessage("outstanding attempts").that(state.outstanding()).isEqualTo(outstanding);
            assertWithMessage("crashes").that(crashes).isAtMost(2);
            return transition.actions();
        }

        private void check(RequestAction action) {
            switch (action) {
                case RequestAction.Send send -> {
                    boolean isUnsafeBookingRetry =
                            kind == RequestKind.BOOKING && (mayHaveRun || !outstanding.isEmpty());
                    assertWithMessage("a booking that may have run")
                            .that(isUnsafeBookingRetry)
                            .isFalse();
                    assertWithMessage("attempts").that(++sent).isAtMost(3);
                    assertWithMessage("suspect after a crash")
                            .that(send.isSuspect())
                            .isEqualTo(crashes > 0);
                    outstanding.add(send.attempt());
                    lastSend = send;
                }
                case RequestAction.Deliver deliver -> responses++;
                case RequestAction.Cancel cancel -> {
                    assertWithMessage("cancelled attempt was outstanding")
                            .that(outstanding.remove(cancel.attempt()))
                            .isTrue();
                    mayHaveRun = true;
                }
                case RequestAction.Reply reply -> checkReply(reply.reply());
                case RequestAction.ScheduleRetry scheduled -> isRetryScheduled = true;
            }
        }

        private void checkReply(LocalReply reply) {
            boolean isTruncation = responses == 1 && reply.status() == LocalReply.Status.TRUNCATED;
            boolean isCancellation = responses == 1 && reply.status() == LocalReply.Status.CANCELLED;
            responses += isTruncation || isCancellation ? 0 : 1;
            if (reply.status() == LocalReply.Status.NOT_RUN) {
                assertWithMessage("not run is true")
                        .that(mayHaveRun || !outstanding.isEmpty())
                        .isFalse();
                assertThat(reply.retryAfter()).isPresent();
            }
            lastReply = reply;
        }
    }
}
