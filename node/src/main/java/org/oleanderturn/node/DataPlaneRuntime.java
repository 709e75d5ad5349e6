package org.oleanderturn.node;

import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.oleanderturn.proxy.UpstreamClient;
import org.oleanderturn.proxy.UpstreamExchange;
import org.oleanderturn.traffic.Pause;
import org.oleanderturn.traffic.SlotTicket;
import org.oleanderturn.traffic.SlotWait;

/**
 * What a {@link MeshDataPlane} takes from its process.
 *
 * <p>Immutable; every component is thread safe.
 *
 * @param peers exchanges requests with other nodes
 * @param target exchanges requests with the local target
 * @param timers cancels attempts at their deadline
 * @param slotWait how a request waits for a slot
 * @param pause how a response waits for the link
 * @param nanoseconds a clock that never goes back
 * @param random draws jitter
 */
record DataPlaneRuntime(
        UpstreamExchange peers,
        UpstreamExchange target,
        ScheduledExecutorService timers,
        SlotWait slotWait,
        Pause pause,
        LongSupplier nanoseconds,
        RandomGenerator random) {
    private static final int CONNECTIONS_PER_PEER = 512;

    DataPlaneRuntime {
        Objects.requireNonNull(peers, "peers is null");
        Objects.requireNonNull(target, "target is null");
        Objects.requireNonNull(timers, "timers is null");
        Objects.requireNonNull(slotWait, "slotWait is null");
        Objects.requireNonNull(pause, "pause is null");
        Objects.requireNonNull(nanoseconds, "nanoseconds is null");
        Objects.requireNonNull(random, "random is null");
    }

    /** Returns the runtime of a real process. */
    static DataPlaneRuntime ofProcess() {
        ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(
                1, Thread.ofPlatform().daemon().name("timers").factory());
        // Almost every deadline is cancelled long before it is due; if kept, each would needlessly wake the thread.
        timers.setRemoveOnCancelPolicy(true);
        return new DataPlaneRuntime(
                UpstreamClient.of(CONNECTIONS_PER_PEER),
                UpstreamClient.of(CONNECTIONS_PER_PEER),
                timers,
                SlotTicket::await,
                Thread::sleep,
                System::nanoTime,
                SharedRandom.create());
    }
}
