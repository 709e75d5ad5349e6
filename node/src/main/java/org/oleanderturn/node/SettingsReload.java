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
 * Hands over settings that changed on disk, at SIGHUP or without a signal.
 *
 * <p>Invariant: settings with faults change nothing and are logged once. Thread safe.
 */
final class SettingsReload {
    private static final FluentLogger log = FluentLogger.forEnclosingClass();

    /** How often the file is read without a signal, in milliseconds. */
    private static final long PAUSE_MILLISECONDS = 3_000;

    private final Path file;
    private final Consumer<NodeSettings> consumer;
    private Either<List<SettingsFault>, NodeSettings> known;

    private SettingsReload(Path file, NodeSettings known, Consumer<NodeSettings> consumer) {
        this.file = file;
        this.known = Either.right(known);
        this.consumer = consumer;
    }

    /** Returns the reload of a file whose settings are known. */
    static SettingsReload of(Path file, NodeSettings known, Consumer<NodeSettings> consumer) {
        Objects.requireNonNull(file, "file is null");
        Objects.requireNonNull(known, "known is null");
        Objects.requireNonNull(consumer, "consumer is null");
        return new SettingsReload(file, known, consumer);
    }

    /** Reads the file at each SIGHUP, which otherwise ends the process. */
    void onSignal() {
        try {
            // The JDK's class for signals is no part of its API, and the compiler allows no direct use.
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object checking = Proxy.newProxyInstance(
                    handler.getClassLoader(),
                    new Class<?>[] {handler},
                    (_, method, _) -> answer(method).orElse(null));
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), checking);
        } catch (ReflectiveOperationException | IllegalArgumentException missing) {
            log.atWarning().withCause(missing).log("SIGHUP can't be caught here");
        }
    }

    private Optional<Object> answer(Method method) {
        if (method.getName().equals("handle")) {
            Thread.ofVirtual().start(this::check);
        }
        return Optional.empty();
    }

    /** Reads the file and hands over what changed; returns how long to pause, in milliseconds. */
    synchronized long check() {
        Either<List<SettingsFault>, NodeSettings> read = SettingsReader.read(file);
        if (!read.equals(known)) {
            known = read;
            read.peek(consumer).peekLeft(faults -> log.atWarning().log("settings are not taken over: %s", faults));
        }
        return PAUSE_MILLISECONDS;
    }
}
