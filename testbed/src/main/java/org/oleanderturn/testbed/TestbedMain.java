package org.oleanderturn.testbed;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the testbed program, whose subcommands run stand-ins, loads and benchmarks. */
@Command(
        name = "oleanderturn-testbed",
        mixinStandardHelpOptions = true,
        description = "Stand-ins and benchmarks; not part of the product.",
        subcommands = {
            StoreStandInCommand.class,
            TargetCommand.class,
            LoadCommand.class,
            LoadCheckCommand.class,
            FaultRelayCommand.class,
            BenchCommand.class
        })
public final class TestbedMain {
    private TestbedMain() {}

    /** Runs one subcommand and exits with its exit code. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new TestbedMain()).execute(arguments));
    }
}
