package org.oleanderturn.proxy;

import java.util.Objects;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.ManagedConnPool;
import org.apache.hc.core5.pool.PoolEntry;
import org.oleanderturn.model.Address;

/**
 * A pooled connection while one request uses it.
 *
 * <p>Invariant: it goes back to the pool once, and for further use only when its answer was read to the end. Cutting it is
 * thread safe; the rest is used by one thread.
 */
final class LeasedConnection implements AutoCloseable {
    private final ManagedConnPool<Address, UpstreamConnection> pool;
    private final PoolEntry<Address, UpstreamConnection> entry;
    private boolean isOpen = true;
    private boolean isReuseAllowed = true;
    private boolean isResponseRead;

    private LeasedConnection(
            ManagedConnPool<Address, UpstreamConnection> pool, PoolEntry<Address, UpstreamConnection> entry) {
        this.pool = pool;
        this.entry = entry;
    }

    static LeasedConnection of(
            ManagedConnPool<Address, UpstreamConnection> pool, PoolEntry<Address, UpstreamConnection> entry) {
        Objects.requireNonNull(pool, "pool is null");
        Objects.requireNonNull(entry, "entry is null");
        return new LeasedConnection(pool, entry);
    }

    UpstreamConnection connection() {
        return entry.getConnection();
    }

    /** Says that the peer closes the connection after this answer. */
    void disableReuse() {
        isReuseAllowed = false;
    }

    /** Says that the answer was read to its end. */
    void markResponseRead() {
        isResponseRead = true;
    }

    /** Cuts the connection, which ends a read or write that another thread waits in. */
    synchronized void abort() {
        if (isOpen) {
            entry.discardConnection(CloseMode.IMMEDIATE);
        }
    }

    @Override
    public synchronized void close() {
        if (!isOpen) {
            return;
        }
        boolean isReusable = isReuseAllowed && isResponseRead && entry.hasConnection();
        if (!isReusable) {
            abort();
        }
        isOpen = false;
        pool.release(entry, isReusable);
    }
}
