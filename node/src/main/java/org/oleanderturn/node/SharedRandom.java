package org.oleanderturn.node;

import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;

/**
 * A generator that many threads draw from without contention.
 *
 * <p>Thread safe: each draw uses the drawing thread's own generator.
 */
final class SharedRandom implements RandomGenerator {
    private SharedRandom() {}

    static RandomGenerator create() {
        return new SharedRandom();
    }

    @Override
    public long nextLong() {
        return ThreadLocalRandom.current().nextLong();
    }
}
