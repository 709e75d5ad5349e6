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
 * The options shared by all commands and queries. Without a subcommand it starts the prompt.
 *
 * <p>The parser sets the fields. Used by one thread.
 */
@Command(name = "oleanderturn", description = "Inspects the nodes of a deployment and changes their configuration.")
final class RootCommand implements Operation {
    private static final String NODE_OPTION = "--node";
    private static final String TIMEOUT_OPTION = "--timeout";

    @Option(
            names = NODE_OPTION,
            paramLabel = "HOST:PORT",
            scope = ScopeType.INHERIT,
            description = "Operator address of a node. Repeat to name several, which are tried in order."
                    + " Overrides a settings file, which overrides " + CommandSettings.NODES_VARIABLE + ".")
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
            description = "Output format: JSON for programs, or text for people (default: text).")
    private OutputFormat outputFormat;

    @Option(
            names = TIMEOUT_OPTION,
            paramLabel = "MILLISECONDS",
            scope = ScopeType.INHERIT,
            description = "Time limit for connecting to a node, and separately for its response" + " (default: "
                    + CommandSettings.DEFAULT_TIMEOUT_MILLISECONDS + ").")
    private Integer timeoutMilliseconds;

    @Override
    public ExitStatus run(ExecutionContext context) {
        return new Prompt().run(context);
    }

    /** Returns the requested output format; the prompt's format, or else text, when the option is absent. */
    OutputFormat outputFormat(CommandEnvironment environment) {
        return Optional.ofNullable(outputFormat)
                .or(() -> environment.inheritedSettings().map(CommandSettings::format))
                .orElse(OutputFormat.TEXT);
    }

    /** Returns the settings; options override the settings file, which overrides the prompt's settings or the environment. */
    Either<CommandFailure, CommandSettings> settings(CommandEnvironment environment) {
        Either<CommandFailure, CommandSettings> settings = baseSettings(environment);
        if (settingsFile != null) {
            settings = settings.flatMap(previous -> previous.withFile(settingsFile));
        }
        if (!nodes.isEmpty()) {
            settings = settings.flatMap(previous -> previous.withNodes(nodes, NODE_OPTION));
        }
        if (timeoutMilliseconds != null) {
            settings = settings.flatMap(previous -> previous.withTimeout(timeoutMilliseconds, TIMEOUT_OPTION));
        }
        return settings.map(previous -> previous.withFormat(outputFormat(environment)));
    }

    private Either<CommandFailure, CommandSettings> baseSettings(CommandEnvironment environment) {
        if (environment.inheritedSettings().isPresent()) {
            return Either.right(environment.inheritedSettings().get());
        }
        String addresses = environment.variables().getOrDefault(CommandSettings.NODES_VARIABLE, "");
        if (addresses.isBlank() || !nodes.isEmpty()) {
            return Either.right(CommandSettings.defaults());
        }
        return CommandSettings.defaults().withNodes(List.of(addresses.split(",", -1)), CommandSettings.NODES_VARIABLE);
    }
}
