package org.oleanderturn.command;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The program's entry point: runs one command line, or the prompt, and exits with its status code. Stateless. */
public final class CommandMain {
    private CommandMain() {}

    /** Runs the command line given by the arguments and ends the process. */
    public static void main(String[] arguments) {
        CommandEnvironment environment = new CommandEnvironment(
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)),
                new PrintWriter(System.out, true, StandardCharsets.UTF_8),
                new PrintWriter(System.err, true, StandardCharsets.UTF_8),
                isTerminal(),
                System.getenv(),
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                Sleeper.ofThread(),
                new SecureRandom(),
                Optional.empty());
        System.exit(CommandLineInterface.of(environment).run(List.of(arguments)));
    }

    private static boolean isTerminal() {
        return Optional.ofNullable(System.console())
                .filter(java.io.Console::isTerminal)
                .isPresent();
    }
}
