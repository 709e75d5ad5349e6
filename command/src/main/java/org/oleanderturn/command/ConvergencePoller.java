package org.oleanderturn.command;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.oleanderturn.model.ConfigurationVersion;
import org.oleanderturn.model.ProxyStatus;

/**
 * Polls the proxies' status until a version is in force on every reachable proxy, the timeout expires or the thread is
 * interrupted.
 *
 * <p>Invariant: the last known state is returned, even when later polls failed. Immutable; thread safe if its clock and
 * sleeper are.
 */
final class ConvergencePoller {
    private static final long POLL_INTERVAL_MILLISECONDS = 300;

    private final LongSupplier clockMilliseconds;
    private final Sleeper sleeper;

    private ConvergencePoller(LongSupplier clockMilliseconds, Sleeper sleeper) {
        this.clockMilliseconds = clockMilliseconds;
        this.sleeper = sleeper;
    }

    static ConvergencePoller of(LongSupplier clockMilliseconds, Sleeper sleeper) {
        return new ConvergencePoller(clockMilliseconds, sleeper);
    }

    Convergence awaitConvergence(
            ConfigurationVersion version,
            long timeoutMilliseconds,
            Supplier<Either<CommandFailure, List<ProxyStatus>>> proxies) {
        long deadline = clockMilliseconds.getAsLong() + timeoutMilliseconds;
        Convergence latest = Convergence.unknown(version);
        while (true) {
            Either<CommandFailure, List<ProxyStatus>> statuses = proxies.get();
            if (statuses.isRight()) {
                latest = Convergence.of(version, statuses.get());
            }
            long remaining = deadline - clockMilliseconds.getAsLong();
            if (latest.isInForce() || remaining <= 0 || Thread.currentThread().isInterrupted()) {
                return latest;
            }
            sleeper.sleep(Math.min(POLL_INTERVAL_MILLISECONDS, remaining));
        }
    }
}
