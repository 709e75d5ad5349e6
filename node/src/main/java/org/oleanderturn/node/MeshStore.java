package org.oleanderturn.node;

import java.time.Duration;
import org.oleanderturn.platform.PlatformStore;
import org.oleanderturn.store.RateLimitedStore;
import org.oleanderturn.store.Store;
import org.oleanderturn.store.StoreSettings;

/** Opens the platform's store for a node of the users' platform. Stateless and thread safe. */
final class MeshStore {
    /** Timeouts of the store, which usually responds within milliseconds. */
    private static final Duration STORE_CONNECT_TIMEOUT = Duration.ofMillis(400);

    private static final Duration STORE_RESPONSE_TIMEOUT = Duration.ofSeconds(1);

    /** A connection that stays silent is given up after this and the timeout of a response at the latest. */
    private static final Duration MAXIMUM_WATCH = Duration.ofSeconds(4);

    /** Size of a burst of store calls, in seconds of the permitted rate. */
    private static final int STORE_BURST_SECONDS = 2;

    private MeshStore() {}

    /** Returns the store at the address of the settings; nothing is connected yet. */
    static PlatformStore open(NodeSettings.Platform platform) {
        return PlatformStore.of(StoreSettings.of(platform.address())
                .withTimeouts(STORE_CONNECT_TIMEOUT, STORE_RESPONSE_TIMEOUT)
                .withMaximumWatch(MAXIMUM_WATCH));
    }

    /** Returns a store that keeps to the rate of calls of the settings. */
    static RateLimitedStore limited(Store store, NodeSettings.Platform platform) {
        int callsPerSecond = platform.callsPerSecond();
        return RateLimitedStore.of(store, callsPerSecond, callsPerSecond * STORE_BURST_SECONDS, System::nanoTime);
    }
}
