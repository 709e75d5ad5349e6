package org.oleanderturn.node;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;

/** Entry point of the node process: runs a node, checks its settings or runs the self-test. */
public final class NodeMain {
    private static final int OK = 0;
    private static final int INVALID_SETTINGS = 3;
    private static final int START_FAILED = 4;
    private static final int SELF_TEST_FAILED = 5;

    private NodeMain() {}

    /** Runs the requested mode and exits the process with its exit code; a node runs until the process is terminated. */
    public static void main(String[] arguments) {
        System.exit(NodeArguments.execute(arguments, NodeMain::run));
    }

    private static int run(NodeArguments arguments) {
        return arguments
                .settingsFile()
                .map(file -> run(file, arguments))
                .orElseGet(() -> rehearse(arguments.logFormat()));
    }

    private static int rehearse(LogFormat logFormat) {
        LogWriter writer = LogWriter.start(System.out);
        logFormat.install(writer);
        return Rehearsal.run(writer) ? OK : SELF_TEST_FAILED;
    }

    private static int run(Path settingsFile, NodeArguments arguments) {
        Either<List<SettingsFault>, NodeSettings> settings = SettingsReader.read(settingsFile);
        if (settings.isLeft()) {
            settings.getLeft().forEach(fault -> System.err.println(fault.describe()));
            return INVALID_SETTINGS;
        }
        if (arguments.isCheck()) {
            System.out.println("settings are in order");
            return OK;
        }
        if (settings.get().mesh().isPresent()) {
            return runMesh(settingsFile, settings.get(), arguments.logFormat());
        }
        arguments.logFormat().install();
        return runNode(settings.get());
    }

    private static int runMesh(Path settingsFile, NodeSettings settings, LogFormat logFormat) {
        LogWriter writer = LogWriter.start(System.out);
        logFormat.install(writer);
        Either<NodeFailure, MeshNode> started = MeshNode.start(settings, writer);
        if (started.isLeft()) {
            return startFailed(started.getLeft());
        }
        SettingsReload reload = SettingsReload.of(settingsFile, settings, started.get()::reload);
        reload.installSignalHandler();
        started.get().runRepeatedly(reload::check);
        return ShutdownSignal.awaitAndStop(started.get()::stop);
    }

    private static int runNode(NodeSettings settings) {
        Either<NodeFailure, Node> started = Node.start(settings);
        if (started.isLeft()) {
            return startFailed(started.getLeft());
        }
        return ShutdownSignal.awaitAndStop(started.get()::stop);
    }

    private static int startFailed(NodeFailure failure) {
        System.err.println("oleanderturn-node: " + failure.describe());
        return START_FAILED;
    }
}
