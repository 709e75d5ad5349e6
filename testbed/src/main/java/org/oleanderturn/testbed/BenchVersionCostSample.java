package org.oleanderturn.testbed;

import java.util.List;

/**
 * What one version cost one node.
 *
 * <p>Immutable and thread safe.
 *
 * @param steps the cost of each of {@link #STEPS}, in that order
 * @param sentBytes the bytes of frames sent to peers
 * @param receivedBytes the bytes of frames received from peers
 * @param storeBytes the bytes of the value read from the store, zero for a node that reads none
 * @param pushes the number of updates pushed to peers
 */
record BenchVersionCostSample(
        List<BenchProcessorCost> steps, long sentBytes, long receivedBytes, long storeBytes, int pushes) {
    static final List<String> STEPS = List.of("decode", "adopt and index", "push", "repeated pushes");

    /** Copies the list; throws an {@link IllegalArgumentException} if it has another length than the steps. */
    BenchVersionCostSample {
        steps = List.copyOf(steps);
        if (steps.size() != STEPS.size()) {
            throw new IllegalArgumentException("not one cost for each step: " + steps.size());
        }
    }

    BenchProcessorCost total() {
        return steps.stream().reduce(new BenchProcessorCost(0, 0), BenchProcessorCost::plus);
    }

    double milliseconds() {
        return total().milliseconds();
    }

    /** Returns the bytes exchanged with peers. */
    long controlBytes() {
        return sentBytes + receivedBytes;
    }
}
