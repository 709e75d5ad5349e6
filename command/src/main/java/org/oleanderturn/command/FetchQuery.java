package org.oleanderturn.command;

import java.util.function.Function;
import picocli.CommandLine.Command;

/**
 * A query that shows what one path of a node's operator interface answers.
 *
 * <p>Immutable and thread safe.
 */
@Command
final class FetchQuery<T> implements Operation {
    private final String path;
    private final Class<T> type;
    private final Function<T, String> text;

    FetchQuery(String path, Class<T> type, Function<T, String> text) {
        this.path = path;
        this.type = type;
        this.text = text;
    }

    @Override
    public ExitStatus run(Session session) {
        Console console = session.console();
        return session.nodes().flatMap(nodes -> nodes.ask(path, type)).fold(console::fail, answer -> {
            console.answer(answer, () -> text.apply(answer));
            return ExitStatus.OK;
        });
    }
}
