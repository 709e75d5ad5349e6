package org.oleanderturn.command;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.DecodeFailure;

/**
 * Why a command or query failed. Error messages and JSON output show the simple name of the record as its type.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface CommandFailure {

    /** Returns a description for people, without the failure's type. */
    String describe();

    // -- exchanges with a node

    /** The connection to the node could not be established; nothing was sent. */
    record NotConnected(Address node, String reason) implements CommandFailure {
        @Override
        public String describe() {
            return node + ": " + reason + "; nothing was sent";
        }
    }

    /** The request was sent, or may have been, but no complete response arrived. */
    record AnswerLost(Address node, String reason) implements CommandFailure {
        @Override
        public String describe() {
            return node + ": the request was sent, but its response was lost: " + reason;
        }
    }

    /** The response could not be decoded, or belongs to another proposal. */
    record MalformedAnswer(Address node, DecodeFailure failure) implements CommandFailure {
        @Override
        public String describe() {
            return node + ": " + TextFormatter.format(failure);
        }
    }

    /** The node responded with an HTTP error status. */
    record Rejected(Address node, int status, Optional<String> retryAfterSeconds, String body)
            implements CommandFailure {
        private static final int LOWEST_SERVER_ERROR = 500;

        /** Returns whether the status is below 500: the node rejected the request without running it. */
        boolean isNotRun() {
            return status < LOWEST_SERVER_ERROR;
        }

        @Override
        public String describe() {
            String retry = retryAfterSeconds
                    .map(seconds -> "; retry in " + seconds + " s")
                    .orElse("");
            return node + ": HTTP status " + status + " " + body.strip() + retry;
        }
    }

    /** Every node that was tried failed. */
    record NoNodeAnswered(List<CommandFailure> failures) implements CommandFailure {

        /** Copies the failures. */
        public NoNodeAnswered {
            failures = List.copyOf(failures);
        }

        /** Returns a single failure as it is, and several wrapped in one. */
        static CommandFailure of(List<CommandFailure> failures) {
            return failures.size() == 1 ? failures.getFirst() : new NoNodeAnswered(failures);
        }

        @Override
        public String describe() {
            return failures.stream()
                    .map(failure -> failure.getClass().getSimpleName() + " " + failure.describe())
                    .collect(Collectors.joining("; "));
        }
    }

    /** An unexpected exception in this program. */
    record InternalFault(String reason) implements CommandFailure {
        @Override
        public String describe() {
            return reason;
        }
    }

    // -- input

    /** The operator's input is missing, unreadable or malformed; nothing was sent. */
    sealed interface Input extends CommandFailure {}

    /** No node's operator address was given. */
    record NoNodeGiven() implements Input {
        @Override
        public String describe() {
            return "no node given; use --node HOST:PORT, --settings FILE or " + CommandSettings.NODES_VARIABLE;
        }
    }

    /** The command line does not match the syntax of any command or query. */
    record MalformedCommandLine(String reason) implements Input {
        @Override
        public String describe() {
            return reason;
        }
    }

    /** A value on the command line, in the environment or in a settings file is malformed. */
    record MalformedValue(String place, String found, String expected) implements Input {
        @Override
        public String describe() {
            return place + ": expected " + expected + ", found \"" + found + "\"";
        }
    }

    /** A file or folder could not be read. */
    record UnreadableFile(String file, String reason) implements Input {
        @Override
        public String describe() {
            return file + ": " + reason;
        }
    }

    /** A file is not valid JSON or does not have the expected fields. */
    record MalformedFile(String file, DecodeFailure failure) implements Input {
        @Override
        public String describe() {
            return file + ": " + TextFormatter.format(failure);
        }
    }

    /** A folder contains no declaration file. */
    record NoDeclaration(String folder) implements Input {
        @Override
        public String describe() {
            return folder + ": contains no *.json file";
        }
    }

    /** Two files, or one file twice, declare objects of the same kind and name. */
    record DeclaredTwice(String path, String firstFile, String secondFile) implements Input {
        @Override
        public String describe() {
            return path + " is declared in " + firstFile + " and again in " + secondFile;
        }
    }

    /** A saved snapshot's digest does not match its content. */
    record DamagedSnapshot(String file) implements Input {
        @Override
        public String describe() {
            return file + ": the digest does not match the configuration";
        }
    }
}
