package org.oleanderturn.command;

import io.vavr.control.Either;
import java.util.Objects;

/**
 * What one command or query runs with.
 *
 * <p>Used by one thread at a time.
 *
 * @param environment the process around it
 * @param settings which nodes to talk to, and how
 */
record Session(CommandEnvironment environment, CommandSettings settings) {

    Session {
        Objects.requireNonNull(environment, "environment is null");
        Objects.requireNonNull(settings, "settings is null");
    }

    /** Returns where answers and errors go. */
    Console console() {
        return Console.of(environment, settings.format());
    }

    /** Returns the nodes to talk to; none given is a failure. */
    Either<CommandFailure, Nodes> nodes() {
        if (settings.nodes().isEmpty()) {
            return Either.left(new CommandFailure.NoNodeGiven());
        }
        return Either.right(Nodes.of(settings.nodes(), OperatorClient.of(settings.timeoutMilliseconds())));
    }
}
