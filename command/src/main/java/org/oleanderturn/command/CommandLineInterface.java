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
 * The syntax of the commands and queries, and the execution of one command line.
 *
 * <p>Invariant: an instance runs one line, so that no option carries over to the next one. Used by one thread.
 */
public final class CommandLineInterface {
    private static final int USAGE_WIDTH_COLUMNS = 110;

    private final CommandEnvironment environment;
    private final RootCommand root;
    private final CommandLine commandLine;

    private CommandLineInterface(CommandEnvironment environment) {
        this.environment = environment;
        this.root = new RootCommand();
        this.commandLine = new CommandLine(root);
    }

    /** Returns an instance for one line. */
    public static CommandLineInterface of(CommandEnvironment environment) {
        Objects.requireNonNull(environment, "environment is null");
        CommandLineInterface commandLineInterface = new CommandLineInterface(environment);
        commandLineInterface.addSubcommands();
        return commandLineInterface;
    }

    /** Runs a line, given as its arguments, and returns its exit code. */
    public int run(List<String> arguments) {
        return commandLine.execute(arguments.toArray(String[]::new));
    }

    /** A parent of commands or of queries; naming it without one of them is a usage error. */
    @Command
    static final class CommandGroup {}

    // -- syntax

    private void addSubcommands() {
        addHelp(
                commandLine,
                "Runs a command or query; without arguments, starts a prompt that reads them line by line.",
                "query proxies");
        CommandLine commands = add(commandLine, new CommandGroup(), "command");
        addHelp(
                commands,
                "Changes the mesh, or checks a change without making it.",
                "command propose examples/huon-valley/configuration");
        CommandLine queries = add(commandLine, new CommandGroup(), "query");
        addHelp(queries, "Shows information; changes nothing.", "query proxies --output json");
        CommandLine prompt = add(commandLine, new Prompt(), "prompt");
        addHelp(
                prompt,
                "Reads commands and queries line by line; enter help for help, exit to leave.",
                "prompt --node 127.0.0.1:24001");
        commandLine.addSubcommand("help", new CommandLine.HelpCommand());
        addCommands(commands);
        addQueries(queries);
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setOut(environment.output());
        commandLine.setErr(environment.errors());
        commandLine.setExecutionStrategy(this::execute);
        commandLine.setParameterExceptionHandler(this::reportUsageError);
        commandLine.setExecutionExceptionHandler(this::reportInternalFault);
    }

    private static void addCommands(CommandLine commands) {
        addHelp(
                add(commands, new CheckCommand(), "check"),
                "Checks declarations locally and, if a node is given, also on that node.",
                "command check examples/huon-valley/configuration");
        addHelp(
                add(commands, ProposeCommand.forDeclarations(), "propose"),
                "Proposes declarations to replace the configuration in force.",
                "command propose examples/huon-valley/configuration --expect-version 41 --wait");
        addHelp(
                add(commands, ProposeCommand.forSavedConfiguration(), "restore"),
                "Proposes an older configuration again, under a new version. The file is the output of"
                        + " query configuration --output json, or declarations.",
                "command restore version-40.json --wait");
        addHelp(
                add(commands, new DrainCommand(OperatorPaths.DRAIN), "drain"),
                "Drains a node: it finishes its work and takes no new work.",
                "command drain hobart-bookings-1");
        addHelp(
                add(commands, new DrainCommand(OperatorPaths.UNDRAIN), "undrain"),
                "Lets a drained node take new work again.",
                "command undrain hobart-bookings-1");
    }

    private static void addQueries(CommandLine queries) {
        addHelp(
                add(
                        queries,
                        new FetchQuery<>(OperatorPaths.PROXIES, ProxyStatus[].class, TextFormatter::formatProxies),
                        "proxies"),
                "Shows the configuration version that each proxy holds.",
                "query proxies");
        addHelp(
                add(
                        queries,
                        new FetchQuery<>(
                                OperatorPaths.CONFIGURATION,
                                ConfigurationSnapshot.class,
                                TextFormatter::formatConfiguration),
                        "configuration",
                        "config"),
                "Shows the configuration that the queried node holds.",
                "query configuration --output json > version-40.json");
        addHelp(
                add(
                        queries,
                        new FetchQuery<>(OperatorPaths.ROUTES, RoutingTable.Entry[].class, TextFormatter::formatRoutes),
                        "routes"),
                "Shows the routes of the queried node, with the number of ready endpoints of each.",
                "query routes");
        addHelp(
                add(
                        queries,
                        new FetchQuery<>(OperatorPaths.ENDPOINTS, Endpoint[].class, TextFormatter::formatEndpoints),
                        "endpoints"),
                "Shows the endpoints known to the queried node.",
                "query endpoints");
        addDetailQueries(queries);
    }

    /** Adds the queries about one proposal, one set of declarations, one node or one request. */
    private static void addDetailQueries(CommandLine queries) {
        addHelp(
                add(queries, new ChangeQuery(), "change"),
                "Shows the outcome of a proposal.",
                "query change 2026-12-03-more-slots");
        addHelp(
                add(queries, new DiffQuery(), "diff"),
                "Compares declarations with the configuration in force.",
                "query diff examples/huon-valley/configuration");
        addHelp(
                add(
                        queries,
                        new FetchQuery<>(OperatorPaths.STATE, JsonNode.class, Codec.json()::encodeIndented),
                        "state"),
                "Shows the state dump of the queried node.",
                "query state --node 127.0.0.1:24001");
        addHelp(
                add(queries, new ExplainQuery(), "explain"),
                "Shows the timeline of one request, merged from the log files of nodes.",
                "query explain 52728f88bc824ba5 hobart-*.log");
        addHelp(
                add(queries, new PlacementQuery(), "placement"),
                "Shows where the queried node would send a request now, and why; the request is not sent."
                        + " Ask a node at its address mesh.metrics.",
                "query placement --host ledger --path /balance/17 --node 127.0.0.1:9090");
    }

    private static CommandLine add(CommandLine parent, Object operation, String name, String... aliases) {
        CommandLine child = new CommandLine(operation);
        parent.addSubcommand(name, child, aliases);
        return child;
    }

    private static void addHelp(CommandLine command, String description, String example) {
        command.getCommandSpec().mixinStandardHelpOptions(true).versionProvider(new ProgramVersion());
        Map<String, String> codes = new LinkedHashMap<>();
        Arrays.stream(ExitStatus.values())
                .forEach(status -> codes.put(Integer.toString(status.code()), status.meaning()));
        UsageMessageSpec usage = command.getCommandSpec().usageMessage();
        usage.width(USAGE_WIDTH_COLUMNS)
                .description(description)
                .exitCodeListHeading("%nExit codes:%n")
                .exitCodeList(codes)
                .footer("", "Example:", "  oleanderturn " + example);
    }

    // -- execution

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
            return console().writeFailure(settings.getLeft()).code();
        }
        return operation.run(new ExecutionContext(environment, settings.get())).code();
    }

    private int reportUsageError(ParameterException failure, String[] arguments) {
        String command = failure.getCommandLine().getCommandSpec().qualifiedName();
        String reason = failure.getMessage() + "; see " + command + " --help";
        return console()
                .writeFailure(new CommandFailure.MalformedCommandLine(reason))
                .code();
    }

    private int reportInternalFault(Exception failure, CommandLine command, ParseResult parseResult) {
        return console()
                .writeFailure(new CommandFailure.InternalFault(failure.toString()))
                .code();
    }

    private Console console() {
        return Console.of(environment, root.outputFormat(environment));
    }
}
