package org.oleanderturn.testbed;

import io.vavr.control.Either;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.oleanderturn.proxy.ListenerFailure;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs a target stand-in until the process is stopped.
 *
 * <p>Used by one thread.
 */
@Command(name = "target", description = "Runs a target stand-in.")
public final class TargetCommand implements Callable<Integer> {
    @Option(names = "--name", required = true, description = "The target's name.")
    private String name;

    @Option(names = "--port", required = true, description = "The port on 127.0.0.1.")
    private int port;

    @Option(names = "--slots", defaultValue = "10", description = "Number of requests that run concurrently.")
    private int slots;

    @Override
    public Integer call() throws InterruptedException {
        Either<ListenerFailure, TargetStandIn> started =
                TargetStandIn.start(name, port, TargetBehaviour.standard(slots));
        if (started.isLeft()) {
            System.err.println(started.getLeft());
            return 1;
        }
        System.out.println("target " + name + " listens on 127.0.0.1:" + port);
        new CountDownLatch(1).await();
        return 0;
    }
}
