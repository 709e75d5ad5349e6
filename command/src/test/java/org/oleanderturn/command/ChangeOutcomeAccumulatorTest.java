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

class ChangeOutcomeAccumulatorTest {
    private static final ProposalId ID = ProposalId.of("change-1");
    private static final Address NODE = Address.of("127.0.0.1", 1);
    private static final ConfigurationVersion VERSION = ConfigurationVersion.of(7);

    /** A node's response to a submission of the proposal or, if the name ends in QUERIED, to a query for its outcome. */
    enum Observation {
        ACCEPTED,
        ACCEPTED_QUERIED,
        PROPOSAL_REFUSED,
        PROPOSAL_REFUSED_QUERIED,
        ATTEMPT_REFUSED,
        UNDETERMINED,
        LOST,
        MALFORMED,
        SERVER_ERROR,
        NOT_CONNECTED,
        REJECTED,
        NOT_RECORDED_QUERIED,
        LOST_QUERIED
    }

    enum Result {
        ACCEPTED,
        PROPOSAL_REFUSED,
        ATTEMPT_REFUSED,
        UNDETERMINED,
        NOT_RECORDED,
        UNREACHABLE,
        REJECTED
    }

    static Stream<Arguments> cases() {
        return Stream.of(
                testCase(Result.ACCEPTED, Observation.ACCEPTED),
                testCase(Result.PROPOSAL_REFUSED, Observation.PROPOSAL_REFUSED),
                testCase(Result.ATTEMPT_REFUSED, Observation.ATTEMPT_REFUSED),
                testCase(Result.ATTEMPT_REFUSED, Observation.NOT_CONNECTED, Observation.ATTEMPT_REFUSED),
                testCase(Result.ATTEMPT_REFUSED, Observation.ATTEMPT_REFUSED, Observation.NOT_CONNECTED),
                testCase(Result.UNREACHABLE, Observation.NOT_CONNECTED),
                testCase(Result.REJECTED, Observation.REJECTED),
                testCase(Result.UNDETERMINED, Observation.LOST),
                testCase(Result.UNDETERMINED, Observation.MALFORMED),
                testCase(Result.UNDETERMINED, Observation.SERVER_ERROR),
                testCase(Result.UNDETERMINED, Observation.LOST, Observation.ATTEMPT_REFUSED),
                testCase(
                        Result.UNDETERMINED,
                        Observation.LOST,
                        Observation.ATTEMPT_REFUSED,
                        Observation.ATTEMPT_REFUSED),
                testCase(Result.UNDETERMINED, Observation.UNDETERMINED, Observation.ATTEMPT_REFUSED),
                testCase(Result.UNDETERMINED, Observation.ATTEMPT_REFUSED, Observation.LOST),
                testCase(Result.UNDETERMINED, Observation.LOST, Observation.NOT_RECORDED_QUERIED),
                testCase(Result.UNDETERMINED, Observation.LOST, Observation.NOT_CONNECTED),
                testCase(Result.UNDETERMINED, Observation.LOST, Observation.REJECTED),
                testCase(Result.ACCEPTED, Observation.LOST, Observation.ACCEPTED_QUERIED),
                testCase(Result.ACCEPTED, Observation.LOST, Observation.ATTEMPT_REFUSED, Observation.ACCEPTED),
                testCase(Result.PROPOSAL_REFUSED, Observation.UNDETERMINED, Observation.PROPOSAL_REFUSED_QUERIED),
                testCase(Result.ACCEPTED, Observation.ACCEPTED, Observation.LOST),
                testCase(Result.ACCEPTED, Observation.ACCEPTED, Observation.PROPOSAL_REFUSED),
                testCase(Result.PROPOSAL_REFUSED, Observation.PROPOSAL_REFUSED, Observation.UNDETERMINED),
                testCase(Result.NOT_RECORDED, Observation.NOT_RECORDED_QUERIED),
                testCase(Result.NOT_RECORDED, Observation.LOST_QUERIED, Observation.NOT_RECORDED_QUERIED));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void shouldReportOnlyWhatIsCertainWhenResultsAreCombined(Result expected, List<Observation> observations) {
        ChangeOutcomeAccumulator accumulator = ChangeOutcomeAccumulator.of(ID);
        for (Observation observation : observations) {
            accumulator = observation.name().endsWith("_QUERIED")
                    ? accumulator.withQueryResult(resultOf(observation))
                    : accumulator.withSubmissionResult(resultOf(observation));
        }

        assertThat(classify(accumulator.result())).isEqualTo(expected);
    }

    private static Arguments testCase(Result expected, Observation... observations) {
        return Arguments.of(expected, List.of(observations));
    }

    private static Either<CommandFailure, ChangeOutcome> resultOf(Observation observation) {
        return switch (observation) {
            case ACCEPTED, ACCEPTED_QUERIED -> Either.right(new ChangeOutcome.Accepted(ID, VERSION, Digest.of("00")));
            case PROPOSAL_REFUSED, PROPOSAL_REFUSED_QUERIED -> Either.right(refused(Scope.PROPOSAL));
            case ATTEMPT_REFUSED -> Either.right(refused(Scope.ATTEMPT));
            case UNDETERMINED -> Either.right(new ChangeOutcome.Undetermined(ID, "store is slow", 500));
            case NOT_RECORDED_QUERIED -> Either.right(new ChangeOutcome.NotRecorded(ID, VERSION));
            case LOST, LOST_QUERIED -> Either.left(new CommandFailure.AnswerLost(NODE, "closed"));
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

    private static Result classify(Either<CommandFailure, ChangeOutcome> result) {
        if (result.isLeft()) {
            return ExitStatus.of(result.getLeft()) == ExitStatus.UNREACHABLE ? Result.UNREACHABLE : Result.REJECTED;
        }
        return switch (result.get()) {
            case ChangeOutcome.Accepted accepted -> Result.ACCEPTED;
            case ChangeOutcome.Refused refused ->
                refused.scope() == Scope.PROPOSAL ? Result.PROPOSAL_REFUSED : Result.ATTEMPT_REFUSED;
            case ChangeOutcome.Undetermined undetermined -> Result.UNDETERMINED;
            case ChangeOutcome.NotRecorded notRecorded -> Result.NOT_RECORDED;
        };
    }
}
