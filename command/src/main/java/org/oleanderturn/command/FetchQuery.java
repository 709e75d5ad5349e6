package org.oleanderturn.command;

import java.util.function.Function;
import picocli.CommandLine.Command;

/**
 * A query that fetches one path of a node's operator interface and shows the response.
 *
 * <p>Immutable and thread safe.
 */
@Command
final class FetchQuery<T> implements Operation {
    private final String path;
    private final Class<T> type;
    private final Function<T, String> formatter;

    FetchQuery(String path, Class<T> type, Function<T, String> formatter) {
        this.path = path;
        this.type = type;
        this.formatter = formatter;
    }

    @Override
    public ExitStatus run(ExecutionContext context) {
        Console console = context.console();
        return context.client().flatMap(client -> client.fetch(path, type)).fold(console::writeFailure, response -> {
            console.writeResult(response, () -> formatter.apply(response));
            return ExitStatus.OK;
        });
    }
}
