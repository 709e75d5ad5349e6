package org.oleanderturn.command;

import java.io.BufferedReader;
import java.io.PrintWriter;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * The streams, environment variables, clock and random source that the command line uses.
 *
 * <p>Used by one thread at a time.
 *
 * @param input the standard input: the prompt's lines, or a log to explain
 * @param output receives results
 * @param errors receives failures
 * @param isInteractive whether the input is a terminal, so that the prompt is displayed
 * @param variables the environment variables
 * @param clockMilliseconds a monotonic clock
 * @param sleeper waits between polls
 * @param random the source of random proposal ids
 * @param inheritedSettings the settings of the prompt that runs this line; empty outside a prompt
 */
public record CommandEnvironment(
        BufferedReader input,
        PrintWriter output,
        PrintWriter errors,
        boolean isInteractive,
        Map<String, String> variables,
        LongSupplier clockMilliseconds,
        Sleeper sleeper,
        RandomGenerator random,
        Optional<CommandSettings> inheritedSettings) {

    /** Copies the variables; throws {@link NullPointerException} when a component is null. */
    public CommandEnvironment {
        Objects.requireNonNull(input, "input is null");
        Objects.requireNonNull(output, "output is null");
        Objects.requireNonNull(errors, "errors is null");
        variables = Map.copyOf(variables);
        Objects.requireNonNull(clockMilliseconds, "clockMilliseconds is null");
        Objects.requireNonNull(sleeper, "sleeper is null");
        Objects.requireNonNull(random, "random is null");
        Objects.requireNonNull(inheritedSettings, "inheritedSettings is null");
    }

    /** Returns a copy whose settings are the defaults for each line of a prompt. */
    public CommandEnvironment withInheritedSettings(CommandSettings settings) {
        return new CommandEnvironment(
                input,
                output,
                errors,
                isInteractive,
                variables,
                clockMilliseconds,
                sleeper,
                random,
                Optional.of(settings));
    }
}
