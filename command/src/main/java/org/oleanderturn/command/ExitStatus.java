package org.oleanderturn.command;

import org.oleanderturn.model.ChangeOutcome;
import org.oleanderturn.model.DrainOutcome;

/** The exit codes of the command line and their meanings. Immutable and thread safe. */
public enum ExitStatus {
    /** The change was accepted or applied, or the query was answered. */
    OK(0, "change accepted or applied, or query answered"),
    /** An internal error of the program; whether the request ran is unknown. */
    INTERNAL(1, "internal error; whether the request ran is unknown"),
    /** The command line, a settings file or a declaration file is missing, unreadable or malformed; nothing was sent. */
    USAGE(2, "invalid command line, settings file or declaration file; nothing was sent"),
    /** The request was refused and did not run. */
    REFUSED(3, "refused; the request did not run"),
    /** Whether the request ran is unknown, or a query got no usable response. */
    UNDETERMINED(4, "unknown whether the request ran, or no usable response to a query"),
    /** The node to drain, or every node that was tried, was unreachable; nothing was changed. */
    UNREACHABLE(5, "the node to drain, or every node that was tried, was unreachable; nothing was changed"),
    /** The change was accepted, but was not known to be in force on every reachable proxy when the wait timed out. */
    NOT_IN_FORCE(6, "accepted, but not known to be in force on every reachable proxy within --wait-timeout"),
    /** The declarations differ from the configuration in force. */
    DIFFERENT(7, "diff found differences");

    private final int code;
    private final String meaning;

    ExitStatus(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    /** Returns the exit status for a proposal's outcome. */
    public static ExitStatus of(ChangeOutcome outcome) {
        return switch (outcome) {
            case ChangeOutcome.Accepted accepted -> OK;
            case ChangeOutcome.Refused refused -> REFUSED;
            case ChangeOutcome.Undetermined undetermined -> UNDETERMINED;
            case ChangeOutcome.NotRecorded notRecorded -> UNDETERMINED;
        };
    }

    /** Returns the exit status for a drain's outcome. */
    public static ExitStatus of(DrainOutcome outcome) {
        return switch (outcome) {
            case DrainOutcome.Applied applied -> OK;
            case DrainOutcome.UnknownNode unknownNode -> REFUSED;
            case DrainOutcome.Unreachable unreachable -> UNREACHABLE;
            case DrainOutcome.Undetermined undetermined -> UNDETERMINED;
        };
    }

    /**
     * Returns the exit status for a failure. Failures of several nodes give undetermined if any of them does, otherwise
     * refused if any of them does, otherwise unreachable.
     */
    public static ExitStatus of(CommandFailure failure) {
        return switch (failure) {
            case CommandFailure.NotConnected notConnected -> UNREACHABLE;
            case CommandFailure.AnswerLost answerLost -> UNDETERMINED;
            case CommandFailure.MalformedAnswer malformedAnswer -> UNDETERMINED;
            case CommandFailure.Rejected rejected -> rejected.isNotRun() ? REFUSED : UNDETERMINED;
            case CommandFailure.NoNodeAnswered noNodeAnswered -> combinedStatus(noNodeAnswered);
            case CommandFailure.InternalFault internalFault -> INTERNAL;
            case CommandFailure.Input input -> USAGE;
        };
    }

    private static ExitStatus combinedStatus(CommandFailure.NoNodeAnswered failure) {
        ExitStatus combined = UNREACHABLE;
        for (CommandFailure nodeFailure : failure.failures()) {
            ExitStatus status = of(nodeFailure);
            if (status == UNDETERMINED) {
                return UNDETERMINED;
            }
            if (status == REFUSED) {
                combined = REFUSED;
            }
        }
        return combined;
    }

    /** Returns the exit code. */
    public int code() {
        return code;
    }

    /** Returns the meaning of the code, as shown in help texts. */
    public String meaning() {
        return meaning;
    }
}
