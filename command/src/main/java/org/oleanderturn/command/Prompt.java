package org.oleanderturn.command;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import picocli.CommandLine.Command;

/**
 * The interactive prompt: runs the commands and queries it reads, one per line, until {@code exit}, {@code quit} or the
 * end of the input.
 *
 * <p>Used by one thread.
 */
@Command
final class Prompt implements Operation {
    private static final String PROMPT = "oleanderturn> ";

    @Override
    public ExitStatus run(ExecutionContext context) {
        if (context.environment().inheritedSettings().isPresent()) {
            return context.console()
                    .writeFailure(new CommandFailure.MalformedCommandLine("the prompt is already running"));
        }
        CommandEnvironment environment = context.environment().withInheritedSettings(context.settings());
        while (true) {
            Optional<String> line = readLine(environment);
            if (line.isEmpty() || isExit(line.get())) {
                return ExitStatus.OK;
            }
            int code = runLine(environment, context.console(), line.get());
            if (code != ExitStatus.OK.code()) {
                environment.output().println("exit status " + code);
                environment.output().flush();
            }
        }
    }

    private static int runLine(CommandEnvironment environment, Console console, String line) {
        Either<CommandFailure, List<String>> arguments = LineTokenizer.tokenize(line);
        if (arguments.isLeft()) {
            return console.writeFailure(arguments.getLeft()).code();
        }
        if (arguments.get().isEmpty()) {
            return ExitStatus.OK.code();
        }
        return CommandLineInterface.of(environment).run(arguments.get());
    }

    private static boolean isExit(String line) {
        String command = line.strip();
        return command.equals("exit") || command.equals("quit");
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
