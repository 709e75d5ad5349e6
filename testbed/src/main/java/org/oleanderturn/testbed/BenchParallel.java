package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs the parts of an experiment concurrently, on virtual threads.
 *
 * <p>Thread safe.
 */
final class BenchParallel {
    private BenchParallel() {}

    /** Runs all parts and returns their results in the order of the parts. When parts fail, throws an
     * IllegalStateException with the cause of the first failed one, once all have ended. */
    static <T> List<T> runAll(List<Callable<T>> parts) {
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            List<T> results = new ArrayList<>();
            for (Future<T> future : executor.invokeAll(parts)) {
                results.add(future.get());
            }
            return results;
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while running the parts of an experiment", interrupt);
        } catch (ExecutionException failure) {
            throw new IllegalStateException("a part of the experiment failed: " + failure.getCause(), failure);
        }
    }

    /** Starts a fleet of each size, concurrently, so that the settling times overlap. */
    static List<BenchFleet> fleets(List<Integer> sizes) {
        List<Callable<BenchFleet>> starts = new ArrayList<>();
        for (int nodes : sizes) {
            starts.add(() -> BenchFleet.start(nodes, BenchLocalities.ZONES));
        }
        return runAll(starts);
    }
}
