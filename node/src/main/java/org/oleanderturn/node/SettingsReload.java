package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Reloads the settings file when it has changed: on SIGHUP, and periodically.
 *
 * <p>Invariant: faulty settings are ignored and logged once. Thread safe.
 */
final class SettingsReload {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** Delay between two reads of the file when no signal arrives. */
    private static final long CHECK_INTERVAL_MILLISECONDS = 3_000;

    private final Path file;
    private final Consumer<NodeSettings> consumer;
    private Either<List<SettingsFault>, NodeSettings> lastRead;

    private SettingsReload(Path file, NodeSettings lastRead, Consumer<NodeSettings> consumer) {
        this.file = file;
        this.lastRead = Either.right(lastRead);
        this.consumer = consumer;
    }

    /**
     * Returns a reload of the given file.
     *
     * @param lastRead the settings that were last read from the file
     * @param consumer receives changed settings
     */
    static SettingsReload of(Path file, NodeSettings lastRead, Consumer<NodeSettings> consumer) {
        Objects.requireNonNull(file, "file is null");
        Objects.requireNonNull(lastRead, "lastRead is null");
        Objects.requireNonNull(consumer, "consumer is null");
        return new SettingsReload(file, lastRead, consumer);
    }

    /** Reads the file on each SIGHUP; without a handler, SIGHUP terminates the process. */
    void installSignalHandler() {
        try {
            // sun.misc.Signal is not part of the public API, and the compiler settings forbid direct use.
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object signalHandler = Proxy.newProxyInstance(
                    handler.getClassLoader(),
                    new Class<?>[] {handler},
                    (_, method, _) -> handleSignal(method).orElse(null));
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), signalHandler);
        } catch (ReflectiveOperationException | IllegalArgumentException cause) {
            log.atWarning().withCause(cause).log("no SIGHUP handler could be installed");
        }
    }

    private Optional<Object> handleSignal(Method method) {
        if (method.getName().equals("handle")) {
            Thread.ofVirtual().start(this::check);
        }
        return Optional.empty();
    }

    /** Reads the file and passes on changed settings; returns the delay before the next check, in milliseconds. */
    synchronized long check() {
        Either<List<SettingsFault>, NodeSettings> read = SettingsReader.read(file);
        if (!read.equals(lastRead)) {
            lastRead = read;
            read.peek(consumer).peekLeft(faults -> log.atWarning().log("changed settings ignored: %s", faults));
        }
        return CHECK_INTERVAL_MILLISECONDS;
    }
}
