package org.oleanderturn.command;

import static com.google.common.truth.Truth.assertThat;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.ChangeOutcome;
import org.oleanderturn.model.ChangeOutcome.Scope;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.DecodeFailure;
import org.oleanderturn.model.Digest;
import org.oleanderturn.model.ProposalId;
import org.oleanderturn.model.Refusal;

class OutcomeFoldTest {
    private static final ProposalId ID = ProposalId.of("change-1");
    private static final Address NODE = Address.of("127.0.0.1", 1);
    private static final ConfigurationVersion VERSION = ConfigurationVersion.of(7);

    /** One observation of a proposal; a sending unless the name says asked. */
    enum Step {
        ACCEPTED,
        ACCEPTED_ASKED,
        REFUSED_FOR_GOOD,
        REFUSED_FOR_GOOD_ASKED,
        REFUSED_ONCE,
        UNDETERMINED,
        LOST,
        MALFORMED,
        SERVER_ERROR,
        NOT_CONNECTED,
        REJECTED,
        NOT_RECORDED_ASKED,
        LOST_ASKED
    }

    enum Result {
        ACCEPTED,
        REFUSED_FOR_GOOD,
        REFUSED_ONCE,
        UNDETERMINED,
        NOT_RECORDED,
        UNREACHABLE,
        REJECTED
    }

    static Stream<Arguments> table() {
        return Stream.of(
                row(Result.ACCEPTED, Step.ACCEPTED),
                row(Result.REFUSED_FOR_GOOD, Step.REFUSED_FOR_GOOD),
                row(Result.REFUSED_ONCE, Step.REFUSED_ONCE),
                row(Result.REFUSED_ONCE, Step.NOT_CONNECTED, Step.REFUSED_ONCE),
                row(Result.REFUSED_ONCE, Step.REFUSED_ONCE, Step.NOT_CONNECTED),
                row(Result.UNREACHABLE, Step.NOT_CONNECTED),
                row(Result.REJECTED, Step.REJECTED),
                row(Result.UNDETERMINED, Step.LOST),
                row(Result.UNDETERMINED, Step.MALFORMED),
                row(Result.UNDETERMINED, Step.SERVER_ERROR),
                row(Result.UNDETERMINED, Step.LOST, Step.REFUSED_ONCE),
                row(Result.UNDETERMINED, Step.LOST, Step.REFUSED_ONCE, Step.REFUSED_ONCE),
                row(Result.UNDETERMINED, Step.UNDETERMINED, Step.REFUSED_ONCE),
                row(Result.UNDETERMINED, Step.REFUSED_ONCE, Step.LOST),
                row(Result.UNDETERMINED, Step.LOST, Step.NOT_RECORDED_ASKED),
                row(Result.UNDETERMINED, Step.LOST, Step.NOT_CONNECTED),
                row(Result.UNDETERMINED, Step.LOST, Step.REJECTED),
                row(Result.ACCEPTED, Step.LOST, Step.ACCEPTED_ASKED),
                row(Result.ACCEPTED, Step.LOST, Step.REFUSED_ONCE, Step.ACCEPTED),
                row(Result.REFUSED_FOR_GOOD, Step.UNDETERMINED, Step.REFUSED_FOR_GOOD_ASKED),
                row(Result.ACCEPTED, Step.ACCEPTED, Step.LOST),
                row(Result.ACCEPTED, Step.ACCEPTED, Step.REFUSED_FOR_GOOD),
                row(Result.REFUSED_FOR_GOOD, Step.REFUSED_FOR_GOOD, Step.UNDETERMINED),
                row(Result.NOT_RECORDED, Step.NOT_RECORDED_ASKED),
                row(Result.NOT_RECORDED, Step.LOST_ASKED, Step.NOT_RECORDED_ASKED));
    }

    @ParameterizedTest
    @MethodSource("table")
    void shouldSayOnlyWhatIsCertainWhenAnswersAreCombined(Result expected, List<Step> steps) {
        OutcomeFold fold = OutcomeFold.of(ID);
        for (Step step : steps) {
            fold = step.name().endsWith("_ASKED") ? fold.asked(answer(step)) : fold.sent(answer(step));
        }

        assertThat(nameOf(fold.result())).isEqualTo(expected);
    }

    private static Arguments row(Result expected, Step... steps) {
        return Arguments.of(expected, List.of(steps));
    }

    private static Either<CommandFailure, ChangeOutcome> answer(Step step) {
        return switch (step) {
            case ACCEPTED, ACCEPTED_ASKED -> Either.right(new ChangeOutcome.Accepted(ID, VERSION, Digest.of("00")));
            case REFUSED_FOR_GOOD, REFUSED_FOR_GOOD_ASKED -> Either.right(refused(Scope.PROPOSAL));
            case REFUSED_ONCE -> Either.right(refused(Scope.ATTEMPT));
            case UNDETERMINED -> Either.right(new ChangeOutcome.Undetermined(ID, "store is slow", 500));
            case NOT_RECORDED_ASKED -> Either.right(new ChangeOutcome.NotRecorded(ID, VERSION));
            case LOST, LOST_ASKED -> Either.left(new CommandFailure.AnswerLost(NODE, "closed"));
            case MALFORMED -> Either.left(new CommandFailure.MalformedAnswer(NODE, failure()));
            case SERVER_ERROR -> Either.left(new CommandFailure.Rejected(NODE, 503, Optional.empty(), ""));
            case REJECTED -> Either.left(new CommandFailure.Rejected(NODE, 400, Optional.empty(), ""));
            case NOT_CONNECTED -> Either.left(new CommandFailure.NotConnected(NODE, "refused"));
        };
    }

    private static DecodeFailure failure() {
        return DecodeFailure.of("", "not JSON");
    }

    private static ChangeOutcome.Refused refused(Scope scope) {
        return new ChangeOutcome.Refused(ID, new Refusal.PlatformUnavailable("cut off", 1_000), scope);
    }

    private static Result nameOf(Either<CommandFailure, ChangeOutcome> result) {
        if (result.isLeft()) {
            return ExitStatus.of(result.getLeft()) == ExitStatus.UNREACHABLE ? Result.UNREACHABLE : Result.REJECTED;
        }
        return switch (result.get()) {
            case ChangeOutcome.Accepted accepted -> Result.ACCEPTED;
            case ChangeOutcome.Refused refused ->
                refused.scope() == Scope.PROPOSAL ? Result.REFUSED_FOR_GOOD : Result.REFUSED_ONCE;
            case ChangeOutcome.Undetermined undetermined -> Result.UNDETERMINED;
            case ChangeOutcome.NotRecorded notRecorded -> Result.NOT_RECORDED;
        };
    }
}
