package org.oleanderturn.command;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** The query for the course of one request, from the log files of nodes. Used by one thread. */
@Command
final class ExplainQuery implements Operation {
    @Parameters(index = "0", paramLabel = "ID", description = "The request's id.")
    private String request;

    @Parameters(
            index = "1..*",
            arity = "0..*",
            paramLabel = "FILE",
            description = "Log files of the nodes; none reads standard input.")
    private List<Path> files = List.of();

    @Override
    public ExitStatus run(Session session) {
        Console console = session.console();
        return lines(session).map(lines -> RequestTimeline.of(request, lines)).fold(console::fail, timeline -> {
            console.answer(timeline, timeline::describe);
            return ExitStatus.OK;
        });
    }

    private Either<CommandFailure, List<String>> lines(Session session) {
        if (files.isEmpty()) {
            return Either.right(session.environment().input().lines().toList());
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
