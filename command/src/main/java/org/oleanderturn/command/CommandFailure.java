package org.oleanderturn.command;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.oleanderturn.model.Address;
import org.oleanderturn.model.DecodeFailure;

/**
 * Why a command or query has no answer.
 *
 * <p>Immutable and thread safe.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "type")
public sealed interface CommandFailure {

    /** Returns the failure in words, without its type. */
    String describe();

    // -- exchanges with a node

    /** No connection to the node came about; nothing was sent. */
    record NotConnected(Address node, String reason) implements CommandFailure {
        @Override
        public String describe() {
            return node + ": " + reason + "; nothing was sent";
        }
    }

    /** The request was sent, or may have been, and no whole answer came back. */
    record AnswerLost(Address node, String reason) implements CommandFailure {
        @Override
        public String describe() {
            return node + ": the request was sent and its answer lost: " + reason;
        }
    }

    /** The answer is not what the node's interface promises. */
    record MalformedAnswer(Address node, DecodeFailure failure) implements CommandFailure {
        @Override
        public String describe() {
            return node + ": " + Texts.of(failure);
        }
    }

    /** The node answered with an HTTP error status. */
    record Rejected(Address node, int status, Optional<String> retryAfterSeconds, String body)
            implements CommandFailure {
        private static final int LOWEST_SERVER_ERROR = 500;

        /** Returns whether the status says that the request itself was at fault, so that it did not run. */
        boolean isNotRun() {
            return status < LOWEST_SERVER_ERROR;
        }

        @Override
        public String describe() {
            String retry = retryAfterSeconds
                    .map(seconds -> "; come back in " + seconds + " s")
                    .orElse("");
            return node + ": HTTP status " + status + " " + body.strip() + retry;
        }
    }

    /** Each node that was tried failed. */
    record NoNodeAnswered(List<CommandFailure> failures) implements CommandFailure {

        /** Copies the failures. */
        public NoNodeAnswered {
            failures = List.copyOf(failures);
        }

        /** Returns the only failure, or all of them as one. */
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

    /** The program itself is at fault. */
    record InternalFault(String reason) implements CommandFailure {
        @Override
        public String describe() {
            return reason;
        }
    }

    // -- input

    /** What the operator gave is malformed; nothing was sent. */
    sealed interface Input extends CommandFailure {}

    /** No operator address was given. */
    record NoNodeGiven() implements Input {
        @Override
        public String describe() {
            return "give --node HOST:PORT, a settings file or " + CommandSettings.NODES_VARIABLE;
        }
    }

    /** The line does not fit the grammar. */
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

    /** A file or folder can't be read. */
    record UnreadableFile(String file, String reason) implements Input {
        @Override
        public String describe() {
            return file + ": " + reason;
        }
    }

    /** A file is not the JSON that was expected. */
    record MalformedFile(String file, DecodeFailure failure) implements Input {
        @Override
        public String describe() {
            return file + ": " + Texts.of(failure);
        }
    }

    /** A folder holds no declaration file. */
    record NoDeclaration(String folder) implements Input {
        @Override
        public String describe() {
            return folder + ": holds no *.json file";
        }
    }

    /** Two files, or one file twice, declare an object of one sort and name. */
    record DeclaredTwice(String path, String firstFile, String secondFile) implements Input {
        @Override
        public String describe() {
            return path + " is declared in " + firstFile + " and in " + secondFile;
        }
    }

    /** A saved snapshot's digest is not that of its content. */
    record DamagedSnapshot(String file) implements Input {
        @Override
        public String describe() {
            return file + ": the digest is not that of the configuration";
        }
    }
}
