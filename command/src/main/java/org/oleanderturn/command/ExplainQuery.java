package org.oleanderturn.command;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Shows the timeline of one request, merged from the log files of nodes. Used by one thread. */
@Command
final class ExplainQuery implements Operation {
    @Parameters(index = "0", paramLabel = "ID", description = "The request's id.")
    private String requestId;

    @Parameters(
            index = "1..*",
            arity = "0..*",
            paramLabel = "FILE",
            description = "Log files of the nodes (default: standard input).")
    private List<Path> files = List.of();

    @Override
    public ExitStatus run(ExecutionContext context) {
        Console console = context.console();
        return readLines(context)
                .map(lines -> RequestTimeline.of(requestId, lines))
                .fold(console::writeFailure, timeline -> {
                    console.writeResult(timeline, timeline::describe);
                    return ExitStatus.OK;
                });
    }

    private Either<CommandFailure, List<String>> readLines(ExecutionContext context) {
        if (files.isEmpty()) {
            return Either.right(context.environment().input().lines().toList());
        }
        List<String> lines = new ArrayList<>();
        for (Path file : files) {
            try {
                lines.addAll(Files.readAllLines(file));
            } catch (IOException cause) {
                return Either.left(new CommandFailure.UnreadableFile(file.toString(), cause.toString()));
            }
        }
        return Either.right(lines);
    }
}
