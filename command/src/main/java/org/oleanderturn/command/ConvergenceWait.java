package org.oleanderturn.command;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.ProxyStatus;

/**
 * Asks again and again until a version is in force on every reachable proxy, or the time is up.
 *
 * <p>Invariant: the last known state is returned, also when later questions had no answer. Immutable and thread safe as
 * far as its parts are.
 */
final class ConvergenceWait {
    private static final long INTERVAL_MILLISECONDS = 300;

    private final LongSupplier clockMilliseconds;
    private final Pause pause;

    private ConvergenceWait(LongSupplier clockMilliseconds, Pause pause) {
        this.clockMilliseconds = clockMilliseconds;
        this.pause = pause;
    }

    static ConvergenceWait of(LongSupplier clockMilliseconds, Pause pause) {
        return new ConvergenceWait(clockMilliseconds, pause);
    }

    Convergence until(
            ConfigurationVersion version,
            long timeoutMilliseconds,
            Supplier<Either<CommandFailure, List<ProxyStatus>>> proxies) {
        long deadline = clockMilliseconds.getAsLong() + timeoutMilliseconds;
        Convergence latest = Convergence.unknown(version);
        while (true) {
            Either<CommandFailure, List<ProxyStatus>> answer = proxies.get();
            if (answer.isRight()) {
                latest = Convergence.of(version, answer.get());
            }
            long remaining = deadline - clockMilliseconds.getAsLong();
            if (latest.isInForce() || remaining <= 0 || Thread.currentThread().isInterrupted()) {
                return latest;
            }
            pause.pause(Math.min(INTERVAL_MILLISECONDS, remaining));
        }
    }
}
