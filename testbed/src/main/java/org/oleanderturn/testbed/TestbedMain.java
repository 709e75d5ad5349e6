package org.oleanderturn.testbed;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Starts a stand-in, a load or a benchmark. */
@Command(
        name = "oleanderturn-testbed",
        mixinStandardHelpOptions = true,
        description = "Stand-ins and benchmarks; not part of the product.",
        subcommands = {StoreStandInCommand.class, TargetCommand.class, BenchCommand.class})
public final class TestbedMain {
    private TestbedMain() {}

    /** Runs one subcommand. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new TestbedMain()).execute(arguments));
    }
}
