package org.oleanderturn.node;

import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;

/**
 * A random generator that threads share without contention.
 *
 * <p>Thread safe: each call delegates to the calling thread's own generator.
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
