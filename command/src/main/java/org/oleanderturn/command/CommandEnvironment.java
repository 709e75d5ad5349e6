package org.oleanderturn.command;

import java.io.BufferedReader;
import java.io.PrintWriter;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * What the command line takes from the process around it.
 *
 * <p>Used by one thread at a time.
 *
 * @param input where the prompt reads its lines
 * @param output where answers go
 * @param errors where errors go
 * @param isInteractive whether a person types the input
 * @param variables the environment's variables
 * @param clockMilliseconds a clock that never goes back
 * @param pause lets time pass
 * @param random where new proposal ids come from
 * @param inherited the settings given to the prompt that runs this line, if one does
 */
public record CommandEnvironment(
        BufferedReader input,
        PrintWriter output,
        PrintWriter errors,
        boolean isInteractive,
        Map<String, String> variables,
        LongSupplier clockMilliseconds,
        Pause pause,
        RandomGenerator random,
        Optional<CommandSettings> inherited) {

    /** Checks that every part is there. */
    public CommandEnvironment {
        Objects.requireNonNull(input, "input is null");
        Objects.requireNonNull(output, "output is null");
        Objects.requireNonNull(errors, "errors is null");
        variables = Map.copyOf(variables);
        Objects.requireNonNull(clockMilliseconds, "clockMilliseconds is null");
        Objects.requireNonNull(pause, "pause is null");
        Objects.requireNonNull(random, "random is null");
        Objects.requireNonNull(inherited, "inherited is null");
    }

    /** Returns the same environment with settings for a prompt's lines to start from. */
    public CommandEnvironment inheriting(CommandSettings settings) {
        return new CommandEnvironment(
                input,
                output,
                errors,
                isInteractive,
                variables,
                clockMilliseconds,
                pause,
                random,
                Optional.of(settings));
    }
}
