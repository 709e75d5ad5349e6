package org.oleanderturn.testbed;

import java.time.Duration;
import java.util.OptionalInt;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs a stand-in for the platform's store until the process is stopped.
 *
 * <p>Used by one thread.
 */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        description = "Runs a stand-in for the platform's key-value store on loopback.")
public final class StoreStandInCommand implements Callable<Integer> {

    @Option(names = "--port", description = "The port on loopback; 0 for any free one.", defaultValue = "0")
    private int port;

    @Option(
            names = "--answer-delay",
            description = "Delay of each call, in milliseconds.",
            defaultValue = "0",
            paramLabel = "MILLISECONDS")
    private long answerDelayMilliseconds;

    @Option(
            names = "--calls-per-second",
            description = "The rate above which calls are refused; 0 for no limit.",
            defaultValue = "0",
            paramLabel = "CALLS")
    private int callsPerSecond;

    /** Serves until the thread is interrupted or the process ends. */
    @Override
    public Integer call() throws InterruptedException {
        OptionalInt limit = callsPerSecond > 0 ? OptionalInt.of(callsPerSecond) : OptionalInt.empty();
        StoreStandInSettings settings = new StoreStandInSettings(Duration.ofMillis(answerDelayMilliseconds), limit);
        try (StoreStandIn store = StoreStandIn.start(port, settings)) {
            System.out.println("store listens on " + store.address());
            new CountDownLatch(1).await();
        }
        return 0;
    }
}
