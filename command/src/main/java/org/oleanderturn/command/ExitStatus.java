package org.oleanderturn.command;

import org.oleanderturn.model.ChangeOutcome;
import org.oleanderturn.model.DrainOutcome;

/** What the exit code of the command line tells. Immutable and thread safe. */
public enum ExitStatus {
    /** The change was accepted, or the question was answered. */
    OK(0, "accepted, or answered"),
    /** A fault of the program itself; nothing is promised about what was asked. */
    INTERNAL(1, "fault of the program itself; whether the request ran is not known"),
    /** The command line, a settings file or a declaration file is malformed; nothing was sent. */
    USAGE(2, "command line, settings or declaration file malformed; nothing was sent"),
    /** The request was refused and did not run. */
    REFUSED(3, "refused; it did not run"),
    /** Whether the request ran is not known, or no usable answer came to a query. */
    UNDETERMINED(4, "not known whether it ran, or no usable answer to a query"),
    /** No node could be reached; nothing was sent. */
    UNREACHABLE(5, "no node could be reached; nothing was done"),
    /** The change was accepted but is not known to be in force on every reachable proxy in time. */
    NOT_IN_FORCE(6, "accepted, but not yet in force everywhere within --wait-timeout"),
    /** The compared configurations differ. */
    DIFFERENT(7, "diff found differences");

    private final int code;
    private final String meaning;

    ExitStatus(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    /** Returns the status that an outcome stands for. */
    public static ExitStatus of(ChangeOutcome outcome) {
        return switch (outcome) {
            case ChangeOutcome.Accepted accepted -> OK;
            case ChangeOutcome.Refused refused -> REFUSED;
            case ChangeOutcome.Undetermined undetermined -> UNDETERMINED;
            case ChangeOutcome.NotRecorded notRecorded -> UNDETERMINED;
        };
    }

    /** Returns the status that a drain's outcome stands for. */
    public static ExitStatus of(DrainOutcome outcome) {
        return switch (outcome) {
            case DrainOutcome.Applied applied -> OK;
            case DrainOutcome.UnknownNode unknownNode -> REFUSED;
            case DrainOutcome.Unreachable unreachable -> UNREACHABLE;
            case DrainOutcome.Undetermined undetermined -> UNDETERMINED;
        };
    }

    /** Returns the status that a failure stands for. */
    public static ExitStatus of(CommandFailure failure) {
        return switch (failure) {
            case CommandFailure.NotConnected notConnected -> UNREACHABLE;
            case CommandFailure.AnswerLost answerLost -> UNDETERMINED;
            case CommandFailure.MalformedAnswer malformedAnswer -> UNDETERMINED;
            case CommandFailure.Rejected rejected -> rejected.isNotRun() ? REFUSED : UNDETERMINED;
            case CommandFailure.NoNodeAnswered noNodeAnswered -> worst(noNodeAnswered);
            case CommandFailure.InternalFault internalFault -> INTERNAL;
            case CommandFailure.Input input -> USAGE;
        };
    }

    private static ExitStatus worst(CommandFailure.NoNodeAnswered failure) {
        ExitStatus worst = UNREACHABLE;
        for (CommandFailure each : failure.failures()) {
            ExitStatus status = of(each);
            if (status == UNDETERMINED) {
                return UNDETERMINED;
            }
            if (status == REFUSED) {
                worst = REFUSED;
            }
        }
        return worst;
    }

    /** Returns the exit code. */
    public int code() {
        return code;
    }

    /** Returns what the code means, for people. */
    public String meaning() {
        return meaning;
    }
}
