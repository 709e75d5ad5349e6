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
 * The simplest form of distribution, as a baseline: every node watches the store.
 *
 * <p>Each node has a client of its own. Used by one thread.
 */
final class BenchWatchers implements AutoCloseable {
    private static final Duration WATCH_WAIT = Duration.ofSeconds(10);
    private static final String KEY = "head";

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
        List<Locality> zones = BenchPlaces.zones(BenchPlaces.ZONES);
        this.stores = IntStream.range(0, nodes)
                .mapToObj(number -> zones.get(number % zones.size()))
                .map(zone -> new BenchStore(HttpStore.of(StoreSettings.of(store.address())), zone, network))
                .toList();
    }

    static BenchWatchers start(int nodes, int valueBytes) {
        BenchWatchers watchers = new BenchWatchers(nodes, valueBytes);
        watchers.stores.forEach(nodeStore -> watchers.executor.execute(() -> watchers.watch(nodeStore)));
        watchers.change();
        return watchers;
    }

    /** Returns the calls since the start. */
    long calls() {
        return store.counts().total();
    }

    /** Writes the head and waits until every node has read it; returns the milliseconds from the write to the last. */
    double change() {
        changesSeen.set(0);
        revision = writer.compareAndSwap(KEY, revision, value)
                .getOrElseThrow(failure -> new IllegalStateException(failure.toString()));
        double written = BenchClock.nowMilliseconds();
        BenchClock.await(WATCH_WAIT.toMillis(), () -> changesSeen.get() >= stores.size());
        return BenchClock.nowMilliseconds() - written;
    }

    private void watch(BenchStore nodeStore) {
        long seen = StoredValue.ABSENT;
        while (isRunning.get()) {
            long known = seen;
            seen = nodeStore
                    .watch(KEY, known, WATCH_WAIT)
                    .map(found -> found.map(StoredValue::revision).orElse(known))
                    .getOrElse(known);
            if (seen != known) {
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
