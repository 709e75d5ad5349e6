package org.oleanderturn.command;

import io.vavr.control.Either;
import java.util.Objects;

/**
 * The environment and settings with which one command or query runs.
 *
 * <p>Used by one thread at a time.
 *
 * @param environment the process environment
 * @param settings the nodes to contact, the timeout and the output format
 */
record ExecutionContext(CommandEnvironment environment, CommandSettings settings) {

    ExecutionContext {
        Objects.requireNonNull(environment, "environment is null");
        Objects.requireNonNull(settings, "settings is null");
    }

    /** Returns the console for results and failures, in the output format of the settings. */
    Console console() {
        return Console.of(environment, settings.format());
    }

    /** Returns a client for the nodes of the settings; fails when they name none. */
    Either<CommandFailure, FailoverClient> client() {
        if (settings.nodes().isEmpty()) {
            return Either.left(new CommandFailure.NoNodeGiven());
        }
        return Either.right(FailoverClient.of(settings.nodes(), OperatorClient.of(settings.timeoutMilliseconds())));
    }
}
