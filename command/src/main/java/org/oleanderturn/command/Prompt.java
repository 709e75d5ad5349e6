package org.oleanderturn.command;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import picocli.CommandLine.Command;

/**
 * Reads the same grammar line by line until {@code exit} or the end of the input.
 *
 * <p>Used by one thread.
 */
@Command
final class Prompt implements Operation {
    private static final String PROMPT = "oleanderturn> ";

    @Override
    public ExitStatus run(Session session) {
        if (session.environment().inherited().isPresent()) {
            return session.console().fail(new CommandFailure.MalformedCommandLine("this is the prompt already"));
        }
        CommandEnvironment environment = session.environment().inheriting(session.settings());
        while (true) {
            Optional<String> line = readLine(environment);
            if (line.isEmpty() || isExit(line.get())) {
                return ExitStatus.OK;
            }
            int code = runLine(environment, session.console(), line.get());
            if (code != ExitStatus.OK.code()) {
                environment.output().println("exit status " + code);
                environment.output().flush();
            }
        }
    }

    private static int runLine(CommandEnvironment environment, Console console, String line) {
        Either<CommandFailure, List<String>> words = CommandWords.split(line);
        if (words.isLeft()) {
            return console.fail(words.getLeft()).code();
        }
        if (words.get().isEmpty()) {
            return ExitStatus.OK.code();
        }
        return Grammar.of(environment).run(words.get());
    }

    private static boolean isExit(String line) {
        String word = line.strip();
        return word.equals("exit") || word.equals("quit");
    }

    private static Optional<String> readLine(CommandEnvironment environment) {
        if (environment.isInteractive()) {
            environment.output().print(PROMPT);
            environment.output().flush();
        }
        try {
            return Optional.ofNullable(environment.input().readLine());
        } catch (IOException unreadable) {
            return Optional.empty();
        }
    }
}
