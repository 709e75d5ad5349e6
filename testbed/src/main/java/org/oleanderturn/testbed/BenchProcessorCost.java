package org.oleanderturn.testbed;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/**
 * What a piece of work on one platform thread cost.
 *
 * <p>Immutable and thread safe.
 *
 * @param processorNanoseconds the processor time of the thread
 * @param allocatedBytes the bytes that the thread allocated
 */
record BenchProcessorCost(long processorNanoseconds, long allocatedBytes) {
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;
    private static final double BYTES_PER_KIBIBYTE = 1_024;

    /** Runs the work on the calling thread and returns its cost. The thread must not be a virtual one. */
    static BenchProcessorCost measure(Runnable work) {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long bytes = threads.getCurrentThreadAllocatedBytes();
        long start = threads.getCurrentThreadCpuTime();
        work.run();
        long end = threads.getCurrentThreadCpuTime();
        return new BenchProcessorCost(end - start, threads.getCurrentThreadAllocatedBytes() - bytes);
    }

    BenchProcessorCost plus(BenchProcessorCost other) {
        return new BenchProcessorCost(
                processorNanoseconds + other.processorNanoseconds, allocatedBytes + other.allocatedBytes);
    }

    double milliseconds() {
        return processorNanoseconds / NANOSECONDS_PER_MILLISECOND;
    }

    double allocatedKibibytes() {
        return allocatedBytes / BYTES_PER_KIBIBYTE;
    }
}
