package org.oleanderturn.proxy;

import java.io.IOException;
import java.util.Objects;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.ManagedConnPool;
import org.apache.hc.core5.pool.PoolEntry;
import org.oleanderturn.model.Address;

/**
 * A pooled connection that is leased to one request.
 *
 * <p>Invariant: it is released to the pool once, and is reusable only if its response was read completely. Used by one
 * thread, except that any thread may call {@link #abort}.
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

    /** Closes the connection on release, since the peer will not keep it open after this response. */
    void disableReuse() {
        isReuseAllowed = false;
    }

    /** Records that the response was read completely, so that the connection can be reused. */
    void markResponseRead() {
        isResponseRead = true;
    }

    /** Closes the connection immediately, which ends a read or write that another thread is blocked in. */
    synchronized void abort() {
        if (isOpen) {
            entry.discardConnection(CloseMode.IMMEDIATE);
        }
    }

    /** Returns whether no byte that belongs to no response was received after the response. */
    private boolean isInputUsedUp() {
        try {
            return !connection().hasBufferedInput();
        } catch (IOException closed) {
            return false;
        }
    }

    @Override
    public synchronized void close() {
        if (!isOpen) {
            return;
        }
        boolean isReusable = isReuseAllowed && isResponseRead && entry.hasConnection() && isInputUsedUp();
        if (!isReusable) {
            abort();
        }
        isOpen = false;
        pool.release(entry, isReusable);
    }
}
