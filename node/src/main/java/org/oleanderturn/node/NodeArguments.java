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
 * What the node's command line asks for.
 *
 * <p>The options are declared by calls, for annotations cost a start a tenth of a second of processor time. Invariant:
 * without a settings file a rehearsal is asked for. Immutable and thread safe.
 *
 * @param settingsFile the settings, empty for a rehearsal
 * @param isCheck whether the settings are only checked
 * @param logFormat how log lines are written
 */
record NodeArguments(Optional<Path> settingsFile, boolean isCheck, LogFormat logFormat) {
    private static final String SETTINGS = "--settings";
    private static final String REHEARSE = "--rehearse";
    private static final String CHECK = "--check-settings";
    private static final String FORMAT = "--log-format";

    /** Parses the arguments and runs what they ask for; returns the exit code, 2 for arguments with faults. */
    static int execute(String[] arguments, ToIntFunction<NodeArguments> run) {
        return new CommandLine(specification())
                .setExecutionStrategy(parsed -> Optional.ofNullable(CommandLine.executeHelpRequest(parsed))
                        .orElseGet(() -> run.applyAsInt(of(parsed))))
                .execute(arguments);
    }

    private static NodeArguments of(ParseResult parsed) {
        return new NodeArguments(
                Optional.ofNullable(parsed.matchedOptionValue(SETTINGS, (Path) null)),
                parsed.hasMatchedOption(CHECK),
                parsed.matchedOptionValue(FORMAT, LogFormat.JSON));
    }

    private static CommandSpec specification() {
        CommandSpec specification = CommandSpec.create()
                .name("oleanderturn-node")
                .version("oleanderturn-node 0.1.0")
                .addArgGroup(task())
                .addOption(flag("Check the settings and stop.", CHECK))
                .addOption(OptionSpec.builder(FORMAT)
                        .type(LogFormat.class)
                        .paramLabel("<logFormat>")
                        .description("How log lines are written: ${COMPLETION-CANDIDATES}.")
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
                .description("Runs the node of one host: the proxy of its callers and of its target.")
                .exitCodeListHeading("%nExit codes:%n")
                .exitCodeList(CommandLine.Model.UsageMessageSpec.keyValuesMap(new String[] {
                    "0:stopped gracefully, or the settings are in order",
                    "1:a graceful stop had to cut off requests",
                    "2:usage error",
                    "3:the settings have faults",
                    "4:an address can't be listened on",
                    "5:the rehearsal failed"
                }));
        return specification;
    }

    private static ArgGroupSpec task() {
        return ArgGroupSpec.builder()
                .multiplicity("1")
                .addArg(OptionSpec.builder(SETTINGS)
                        .required(true)
                        .type(Path.class)
                        .paramLabel("FILE")
                        .description("The settings, a JSON file.")
                        .build())
                .addArg(flag(
                        "Run alone on loopback with a store and a target of its own, send requests through and stop.",
                        REHEARSE))
                .build();
    }

    private static OptionSpec flag(String description, String name) {
        return OptionSpec.builder(name)
                .type(boolean.class)
                .description(description)
                .build();
    }
}
