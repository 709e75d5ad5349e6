package org.oleanderturn.node;

import java.nio.file.Path;
import java.util.Optional;
import java.util.function.ToIntFunction;
import picocli.CommandLine;
import picocli.CommandLine.Model.ArgGroupSpec;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.ParseResult;

/**
 * The parsed command line of the node.
 *
 * <p>The options are declared programmatically because annotations cost 0.1 s of CPU time at each start. Invariant: without
 * a settings file, the self-test was requested. Immutable and thread safe.
 *
 * @param settingsFile the settings file; empty for the self-test
 * @param isCheck whether to check the settings and exit
 * @param logFormat the format of log lines
 */
record NodeArguments(Optional<Path> settingsFile, boolean isCheck, LogFormat logFormat) {
    private static final String SETTINGS = "--settings";
    private static final String REHEARSE = "--rehearse";
    private static final String CHECK = "--check-settings";
    private static final String LOG_FORMAT = "--log-format";

    /** Parses the arguments and passes them on; returns the exit code, 2 for invalid arguments. */
    static int execute(String[] arguments, ToIntFunction<NodeArguments> run) {
        if (isStart(arguments)) {
            return run.applyAsInt(new NodeArguments(Optional.of(Path.of(arguments[1])), false, LogFormat.JSON));
        }
        return new CommandLine(specification())
                .setExecutionStrategy(parsed -> Optional.ofNullable(CommandLine.executeHelpRequest(parsed))
                        .orElseGet(() -> run.applyAsInt(of(parsed))))
                .execute(arguments);
    }

    /**
     * Returns whether the arguments are those of a usual start. They need no parser, whose classes are in a format that an
     * archive of loaded classes can't hold and take a fifth of a start to load.
     */
    private static boolean isStart(String[] arguments) {
        return arguments.length == 2 && arguments[0].equals(SETTINGS) && !arguments[1].startsWith("-");
    }

    private static NodeArguments of(ParseResult parsed) {
        return new NodeArguments(
                Optional.ofNullable(parsed.matchedOptionValue(SETTINGS, (Path) null)),
                parsed.hasMatchedOption(CHECK),
                parsed.matchedOptionValue(LOG_FORMAT, LogFormat.JSON));
    }

    private static CommandSpec specification() {
        CommandSpec specification = CommandSpec.create()
                .name("oleanderturn-node")
                .version("oleanderturn-node 0.1.0")
                .addArgGroup(modeGroup())
                .addOption(flag("Check the settings and exit.", CHECK))
                .addOption(OptionSpec.builder(LOG_FORMAT)
                        .type(LogFormat.class)
                        .paramLabel("<logFormat>")
                        .description("Format of log lines: ${COMPLETION-CANDIDATES}.")
                        .build())
                .addOption(OptionSpec.builder("-h", "--help")
                        .usageHelp(true)
                        .description("Show this help message and exit.")
                        .build())
                .addOption(OptionSpec.builder("-V", "--version")
                        .versionHelp(true)
                        .description("Print version information and exit.")
                        .build());
        specification
                .usageMessage()
                .description("Runs the node of a host, the proxy of its callers and of its target.")
                .exitCodeListHeading("%nExit codes:%n")
                .exitCodeList(CommandLine.Model.UsageMessageSpec.keyValuesMap(new String[] {
                    "0:stopped gracefully, or the settings are valid",
                    "1:stopped, but some requests in flight were cut off",
                    "2:usage error",
                    "3:invalid settings",
                    "4:an address can't be bound",
                    "5:the self-test failed"
                }));
        return specification;
    }

    private static ArgGroupSpec modeGroup() {
        return ArgGroupSpec.builder()
                .multiplicity("1")
                .addArg(OptionSpec.builder(SETTINGS)
                        .required(true)
                        .type(Path.class)
                        .paramLabel("FILE")
                        .description("The settings file, in JSON.")
                        .build())
                .addArg(flag("Run a self-test on loopback with an in-process store and target, then exit.", REHEARSE))
                .build();
    }

    private static OptionSpec flag(String description, String name) {
        return OptionSpec.builder(name)
                .type(boolean.class)
                .description(description)
                .build();
    }
}
