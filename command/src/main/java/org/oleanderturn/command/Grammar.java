package org.oleanderturn.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.oleanderturn.model.Codec;
import org.oleanderturn.model.ConfigurationSnapshot;
import org.oleanderturn.model.Endpoint;
import org.oleanderturn.model.OperatorPaths;
import org.oleanderturn.model.ProxyStatus;
import org.oleanderturn.model.RoutingTable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.UsageMessageSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ParseResult;

/**
 * The commands and queries that one line may hold, and what runs them.
 *
 * <p>Invariant: a grammar runs one line; the next one takes a new grammar, so no option outlives its line. Used by one
 * thread.
 */
public final class Grammar {
    private static final int USAGE_WIDTH_COLUMNS = 110;

    private final CommandEnvironment environment;
    private final RootCommand root;
    private final CommandLine commandLine;

    private Grammar(CommandEnvironment environment) {
        this.environment = environment;
        this.root = new RootCommand();
        this.commandLine = new CommandLine(root);
    }

    /** Returns the grammar for one line. */
    public static Grammar of(CommandEnvironment environment) {
        Objects.requireNonNull(environment, "environment is null");
        Grammar grammar = new Grammar(environment);
        grammar.build();
        return grammar;
    }

    /** Runs a line and returns its exit code. */
    public int run(List<String> words) {
        return commandLine.execute(words.toArray(String[]::new));
    }

    /** A group of commands or of queries; asking for a group alone is a usage error. */
    @Command
    static final class Group {}

    // -- the grammar

    private void build() {
        describe(commandLine, "Without arguments it is a prompt that reads the same grammar.", "query proxies");
        CommandLine commands = add(commandLine, new Group(), "command");
        describe(
                commands,
                "Changes something, or checks a change.",
                "command propose examples/huon-valley/configuration");
        CommandLine queries = add(commandLine, new Group(), "query");
        describe(queries, "Asks and changes nothing.", "query proxies --output json");
        CommandLine prompt = add(commandLine, new Prompt(), "prompt");
        describe(prompt, "Reads commands and queries line by line; help, exit.", "prompt --node 127.0.0.1:24001");
        commandLine.addSubcommand("help", new CommandLine.HelpCommand());
        addCommands(commands);
        addQueries(queries);
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setOut(environment.output());
        commandLine.setErr(environment.errors());
        commandLine.setExecutionStrategy(this::execute);
        commandLine.setParameterExceptionHandler(this::malformed);
        commandLine.setExecutionExceptionHandler(this::broken);
    }

    private static void addCommands(CommandLine commands) {
        describe(
                add(commands, new CheckCommand(), "check"),
                "Says whether declarations could be accepted; without a node they are checked here.",
                "command check examples/huon-valley/configuration");
        describe(
                add(commands, ProposeCommand.ofDeclarations(), "propose"),
                "Proposes that declarations replace the configuration in force.",
                "command propose examples/huon-valley/configuration --expect-version 41 --wait");
        describe(
                add(commands, ProposeCommand.ofSaved(), "restore"),
                "Proposes an older configuration again, under a new version. The file is the output of"
                        + " query configuration --output json, or declarations.",
                "command restore version-40.json --wait");
        describe(
                add(commands, new DrainCommand(OperatorPaths.DRAIN), "drain"),
                "Lets a node finish its work and take no new work.",
                "command drain hobart-bookings-1");
        describe(
                add(commands, new DrainCommand(OperatorPaths.UNDRAIN), "undrain"),
                "Lets a drained node take new work again.",
                "command undrain hobart-bookings-1");
    }

    private static void addQueries(CommandLine queries) {
        describe(
                add(queries, new FetchQuery<>(OperatorPaths.PROXIES, ProxyStatus[].class, Texts::proxies), "proxies"),
                "Shows the configuration version that each proxy holds.",
                "query proxies");
        describe(
                add(
                        queries,
                        new FetchQuery<>(
                                OperatorPaths.CONFIGURATION, ConfigurationSnapshot.class, Texts::configuration),
                        "configuration",
                        "config"),
                "Shows the configuration that the asked node holds.",
                "query configuration --output json > version-40.json");
        describe(
                add(
                        queries,
                        new FetchQuery<>(OperatorPaths.ROUTES, RoutingTable.Entry[].class, Texts::routes),
                        "routes"),
                "Shows the routes of the asked node, with the ready endpoints of each.",
                "query routes");
        describe(
                add(
                        queries,
                        new FetchQuery<>(OperatorPaths.ENDPOINTS, Endpoint[].class, Texts::endpoints),
                        "endpoints"),
                "Shows the endpoints that the asked node knows.",
                "query endpoints");
        addQueriesOfOne(queries);
    }

    /** Adds the queries for one change, one folder of declarations, one node or one request. */
    private static void addQueriesOfOne(CommandLine queries) {
        describe(
                add(queries, new ChangeQuery(), "change"),
                "Shows what became of a proposal.",
                "query change 2026-12-03-more-slots");
        describe(
                add(queries, new DiffQuery(), "diff"),
                "Compares declarations with the configuration in force.",
                "query diff examples/huon-valley/configuration");
        describe(
                add(
                        queries,
                        new FetchQuery<>(OperatorPaths.STATE, JsonNode.class, Codec.json()::encodeIndented),
                        "state"),
                "Shows the state dump of the asked node.",
                "query state --node 127.0.0.1:24001");
        describe(
                add(queries, new ExplainQuery(), "explain"),
                "Shows the course of one request, merged from the log files of nodes.",
                "query explain 52728f88bc824ba5 hobart-*.log");
    }

    private static CommandLine add(CommandLine parent, Object operation, String name, String... aliases) {
        CommandLine child = new CommandLine(operation);
        parent.addSubcommand(name, child, aliases);
        return child;
    }

    private static void describe(CommandLine line, String description, String example) {
        line.getCommandSpec().mixinStandardHelpOptions(true).versionProvider(new ProgramVersion());
        Map<String, String> codes = new LinkedHashMap<>();
        Arrays.stream(ExitStatus.values())
                .forEach(status -> codes.put(Integer.toString(status.code()), status.meaning()));
        UsageMessageSpec usage = line.getCommandSpec().usageMessage();
        usage.width(USAGE_WIDTH_COLUMNS)
                .description(description)
                .exitCodeListHeading("%nExit codes:%n")
                .exitCodeList(codes)
                .footer("", "Example:", "  oleanderturn " + example);
    }

    // -- running

    private int execute(ParseResult parseResult) {
        Integer help = CommandLine.executeHelpRequest(parseResult);
        if (help != null) {
            return help;
        }
        ParseResult deepest = parseResult;
        while (deepest.hasSubcommand()) {
            deepest = deepest.subcommand();
        }
        if (!(deepest.commandSpec().userObject() instanceof Operation operation)) {
            throw new ParameterException(deepest.commandSpec().commandLine(), "a command or query is missing");
        }
        Either<CommandFailure, CommandSettings> settings = root.settings(environment);
        if (settings.isLeft()) {
            return console().fail(settings.getLeft()).code();
        }
        return operation.run(new Session(environment, settings.get())).code();
    }

    private int malformed(ParameterException failure, String[] words) {
        String command = failure.getCommandLine().getCommandSpec().qualifiedName();
        String reason = failure.getMessage() + "; see " + command + " --help";
        return console().fail(new CommandFailure.MalformedCommandLine(reason)).code();
    }

    private int broken(Exception failure, CommandLine line, ParseResult parseResult) {
        return console()
                .fail(new CommandFailure.InternalFault(failure.toString()))
                .code();
    }

    private Console console() {
        return Console.of(environment, root.format(environment));
    }
}
