package org.oleanderturn.command;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;

/**
 * The options that each command and query takes; run alone, it is the prompt.
 *
 * <p>Filled in by the parser; used by one thread.
 */
@Command(
        name = "oleanderturn",
        description = "Asks the nodes of a deployment what they hold, and changes their configuration.")
final class RootCommand implements Operation {
    private static final String NODE_OPTION = "--node";
    private static final String TIMEOUT_OPTION = "--timeout";

    @Option(
            names = NODE_OPTION,
            paramLabel = "HOST:PORT",
            scope = ScopeType.INHERIT,
            description = "Operator address of a node; repeat it to name several, tried in order."
                    + " Goes before a settings file, and that before " + CommandSettings.NODES_VARIABLE + ".")
    private List<String> nodes = new ArrayList<>();

    @Option(
            names = "--settings",
            paramLabel = "FILE",
            scope = ScopeType.INHERIT,
            description = "JSON settings: {\"nodes\": [\"HOST:PORT\", ...], \"timeoutMilliseconds\": N}.")
    private Path settingsFile;

    @Option(
            names = "--output",
            paramLabel = "json|text",
            scope = ScopeType.INHERIT,
            description = "Records for programs, or text for people (default: text).")
    private OutputFormat format;

    @Option(
            names = TIMEOUT_OPTION,
            paramLabel = "MILLISECONDS",
            scope = ScopeType.INHERIT,
            description = "How long to wait for a connection to a node, and again for its answer" + " (default: "
                    + CommandSettings.DEFAULT_TIMEOUT_MILLISECONDS + ").")
    private Integer timeoutMilliseconds;

    @Override
    public ExitStatus run(Session session) {
        return new Prompt().run(session);
    }

    /** Returns the form of output that was asked for. */
    OutputFormat format(CommandEnvironment environment) {
        return Optional.ofNullable(format)
                .or(() -> environment.inherited().map(CommandSettings::format))
                .orElse(OutputFormat.TEXT);
    }

    /** Returns the settings that the options, the settings file and the environment come to. */
    Either<CommandFailure, CommandSettings> settings(CommandEnvironment environment) {
        Either<CommandFailure, CommandSettings> settings = start(environment);
        if (settingsFile != null) {
            settings = settings.flatMap(found -> found.withFile(settingsFile));
        }
        if (!nodes.isEmpty()) {
            settings = settings.flatMap(found -> found.withNodes(nodes, NODE_OPTION));
        }
        if (timeoutMilliseconds != null) {
            settings = settings.flatMap(found -> found.withTimeout(timeoutMilliseconds, TIMEOUT_OPTION));
        }
        return settings.map(found -> found.withFormat(format(environment)));
    }

    private Either<CommandFailure, CommandSettings> start(CommandEnvironment environment) {
        if (environment.inherited().isPresent()) {
            return Either.right(environment.inherited().get());
        }
        String listed = environment.variables().getOrDefault(CommandSettings.NODES_VARIABLE, "");
        if (listed.isBlank() || !nodes.isEmpty()) {
            return Either.right(CommandSettings.defaults());
        }
        return CommandSettings.defaults().withNodes(List.of(listed.split(",", -1)), CommandSettings.NODES_VARIABLE);
    }
}
