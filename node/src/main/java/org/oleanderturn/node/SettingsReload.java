package org.oleanderturn.node;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import sun.misc.Signal;

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
        Signal.handle(new Signal("HUP"), _ -> Thread.ofVirtual().start(this::check));
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
