package org.oleanderturn.testbed;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.oleanderturn.model.Locality;
import org.oleanderturn.store.HttpStore;
import org.oleanderturn.store.StoreSettings;
import org.oleanderturn.store.StoredValue;

/**
 * The baseline for the distribution of configurations: every node watches the store directly.
 *
 * <p>Each node has its own store client. Used by one thread.
 */
final class BenchWatchers implements AutoCloseable {
    private static final Duration WATCH_WAIT = Duration.ofSeconds(10);
    private static final String HEAD_KEY = "head";

    private final StoreStandIn store = StoreStandIn.start(0, StoreStandInSettings.defaults());
    private final BenchNetwork network = new BenchNetwork();
    private final HttpStore writer = HttpStore.of(StoreSettings.of(store.address()));
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final AtomicBoolean isRunning = new AtomicBoolean(true);
    private final AtomicInteger changesSeen = new AtomicInteger();
    private final List<BenchStore> stores;
    private final byte[] value;
    private long revision;

    private BenchWatchers(int nodes, int valueBytes) {
        this.value = new byte[valueBytes];
        List<Locality> zones = BenchLocalities.zones(BenchLocalities.ZONES);
        this.stores = IntStream.range(0, nodes)
                .mapToObj(number -> zones.get(number % zones.size()))
                .map(zone -> new BenchStore(HttpStore.of(StoreSettings.of(store.address())), zone, network))
                .toList();
    }

    static BenchWatchers start(int nodes, int valueBytes) {
        BenchWatchers watchers = new BenchWatchers(nodes, valueBytes);
        watchers.stores.forEach(nodeStore -> watchers.executor.execute(() -> watchers.watch(nodeStore)));
        watchers.writeAndAwait();
        return watchers;
    }

    /** Returns the number of store calls since the start. */
    long calls() {
        return store.counts().total();
    }

    /**
     * Writes the head and waits until every node has read it, or until the timeout. Returns the time since the write, in
     * milliseconds.
     */
    double writeAndAwait() {
        changesSeen.set(0);
        revision = writer.compareAndSwap(HEAD_KEY, revision, value)
                .getOrElseThrow(failure -> new IllegalStateException(failure.toString()));
        double writtenAt = BenchClock.nowMilliseconds();
        BenchClock.await(WATCH_WAIT.toMillis(), () -> changesSeen.get() >= stores.size());
        return BenchClock.nowMilliseconds() - writtenAt;
    }

    private void watch(BenchStore nodeStore) {
        long seenRevision = StoredValue.ABSENT;
        while (isRunning.get()) {
            long knownRevision = seenRevision;
            seenRevision = nodeStore
                    .watch(HEAD_KEY, knownRevision, WATCH_WAIT)
                    .map(found -> found.map(StoredValue::revision).orElse(knownRevision))
                    .getOrElse(knownRevision);
            if (seenRevision != knownRevision) {
                changesSeen.incrementAndGet();
            }
        }
    }

    @Override
    public void close() {
        isRunning.set(false);
        executor.shutdownNow();
        stores.forEach(BenchStore::close);
        writer.close();
        store.close();
    }
}
