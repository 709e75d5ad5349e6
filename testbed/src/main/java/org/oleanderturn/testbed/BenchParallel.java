package org.oleanderturn.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs parts of an experiment side by side.
 *
 * <p>Thread safe.
 */
final class BenchParallel {
    private BenchParallel() {}

    /** Runs every part and returns their results in order; the first failure is thrown once all have ended. */
    static <T> List<T> runAll(List<Callable<T>> parts) {
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            List<T> results = new ArrayList<>();
            for (Future<T> future : executor.invokeAll(parts)) {
                results.add(future.get());
            }
            return results;
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", interrupt);
        } catch (ExecutionException failure) {
            throw new IllegalStateException("a part failed: " + failure.getCause(), failure);
        }
    }

    /** Starts a fleet of each size, all at once, so that they settle together. */
    static List<BenchFleet> fleets(List<Integer> sizes) {
        List<Callable<BenchFleet>> starts = new ArrayList<>();
        for (int nodes : sizes) {
            starts.add(() -> BenchFleet.start(nodes, BenchPlaces.ZONES));
        }
        return runAll(starts);
    }
}
