package org.oleanderturn.node;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Starts a node, or checks its settings. */
@Command(
        name = "oleanderturn-node",
        mixinStandardHelpOptions = true,
        version = "oleanderturn-node 0.1.0",
        description = "Runs the node of one host: the proxy of its callers and of its target.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:stopped gracefully, or the settings are in order",
            "1:a graceful stop had to cut off requests",
            "2:usage error",
            "3:the settings have faults",
            "4:an address can't be listened on",
            "5:the rehearsal failed"
        })
public final class NodeMain implements Callable<Integer> {
    private static final int SETTINGS_FAULTY = 3;
    private static final int START_FAILED = 4;
    private static final int REHEARSAL_FAILED = 5;

    @ArgGroup(multiplicity = "1")
    private Task task;

    @Option(names = "--check-settings", description = "Check the settings and stop.")
    private boolean isCheck;

    @Option(names = "--log-format", description = "How log lines are written: ${COMPLETION-CANDIDATES}.")
    private LogFormat logFormat = LogFormat.JSON;

    private NodeMain() {}

    /** What the program is to do. */
    private static final class Task {
        @Option(names = "--settings", required = true, paramLabel = "FILE", description = "The settings, a JSON file.")
        private Path settingsFile;

        @Option(
                names = "--rehearse",
                required = true,
                description =
                        "Run alone on loopback with a store and a target of its own, send requests through and stop.")
        private boolean isRehearsal;
    }

    /** Runs until the process is stopped. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new NodeMain()).execute(arguments));
    }

    @Override
    public Integer call() {
        if (task.isRehearsal) {
            LogWriter writer = LogWriter.start(System.out);
            logFormat.install(writer);
            return Rehearsal.run(writer) ? CommandLine.ExitCode.OK : REHEARSAL_FAILED;
        }
        Either<List<SettingsFault>, NodeSettings> settings = SettingsReader.read(task.settingsFile);
        if (settings.isLeft()) {
            settings.getLeft().forEach(fault -> System.err.println(fault.describe()));
            return SETTINGS_FAULTY;
        }
        if (isCheck) {
            System.out.println("settings are in order");
            return CommandLine.ExitCode.OK;
        }
        if (settings.get().mesh().isPresent()) {
            return runMesh(settings.get());
        }
        logFormat.install();
        return run(settings.get());
    }

    private int runMesh(NodeSettings settings) {
        LogWriter writer = LogWriter.start(System.out);
        logFormat.install(writer);
        Either<NodeFailure, MeshNode> started = MeshNode.start(settings, writer);
        if (started.isLeft()) {
            System.err.println("oleanderturn-node: " + started.getLeft().describe());
            return START_FAILED;
        }
        SettingsReload reload = SettingsReload.of(task.settingsFile, settings, started.get()::reload);
        reload.onSignal();
        started.get().repeat(reload::check);
        return ShutdownSignal.awaitAndStop(started.get()::stop);
    }

    private static int run(NodeSettings settings) {
        Either<NodeFailure, Node> started = Node.start(settings);
        if (started.isLeft()) {
            System.err.println("oleanderturn-node: " + started.getLeft().describe());
            return START_FAILED;
        }
        return ShutdownSignal.awaitAndStop(started.get()::stop);
    }
}
