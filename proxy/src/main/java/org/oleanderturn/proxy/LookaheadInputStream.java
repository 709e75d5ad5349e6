package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.locks.ReentrantLock;

/**
 * A connection's input stream that detects the end of the input, and further requests, while nobody reads from it.
 *
 * <p>A check reads what has arrived, without waiting; later reads return it first. Invariants: the end is found behind any
 * number of unread bytes; at most {@value #LIMIT_BYTES} of them are kept, and once one was dropped, {@link #hasOverflowed}
 * holds and no further request may be read. A check while a read waits for the source does nothing. Thread safe, with one
 * reader at a time.
 */
final class LookaheadInputStream extends InputStream {
    /** A request with the longest body that an entry takes, 1 MB, fits in behind another. */
    private static final int LIMIT_BYTES = 1_100_000;

    private static final int DROP_BUFFER_BYTES = 8_192;

    /** Bytes that one check drops at most, so that a fast sender cannot hold the thread that checks all connections. */
    private static final int DROP_LIMIT_BYTES = 1_000_000;

    /** Reads bytes that have arrived, without waiting for more. */
    @FunctionalInterface
    interface ArrivedBytes {
        /** The result at the end of the input. */
        int END = -1;

        /** The result if nothing can be read now, so that it is unknown whether bytes have arrived. */
        int UNKNOWN = -2;

        /** Adds bytes to the buffer and returns how many, {@link #END} or {@link #UNKNOWN}. */
        int readInto(ByteBuffer buffer) throws IOException;
    }

    private final InputStream source;
    private final ArrivedBytes arrived;
    private final ReentrantLock lock = new ReentrantLock();
    private final ReadAheadBuffer ahead;
    private final Map<Object, Runnable> onEnd = new HashMap<>();

    /** When the source was last known to hold no unread byte; what is found later did not arrive before it. */
    private long emptyNanoseconds = System.nanoTime();

    // Written under the lock. Where nobody sends ahead, or nothing is watched, they spare taking it.
    private volatile boolean isAhead;
    private volatile boolean isWatched;

    private boolean isReading;
    private boolean areChecksEnded;
    private volatile boolean hasEnded;
    private volatile boolean hasOverflowed;
    private volatile boolean hasReadEnd;
    private volatile boolean hasReadBytes;

    private LookaheadInputStream(InputStream source, ArrivedBytes arrived, BodyReservation reservation) {
        this.source = source;
        this.arrived = arrived;
        this.ahead = new ReadAheadBuffer(LIMIT_BYTES, reservation);
    }

    /**
     * Returns a stream that reads from a source, and looks ahead with what reads the same bytes without waiting.
     *
     * @param reservation what the memory for long input that is read ahead is taken from
     */
    static LookaheadInputStream of(InputStream source, ArrivedBytes arrived, BodyReservation reservation) {
        Objects.requireNonNull(source, "source is null");
        Objects.requireNonNull(arrived, "arrived is null");
        return new LookaheadInputStream(source, arrived, reservation);
    }

    // -- checks

    /**
     * Sets the action that the check that finds the end runs; runs it at once if the end has been found.
     *
     * @param key identifies the action among those of other requests
     * @return whether it is the only action
     */
    boolean watch(Object key, Runnable action) {
        boolean isEndKnown;
        boolean isOnly;
        lock.lock();
        try {
            isEndKnown = hasEnded;
            if (!isEndKnown) {
                onEnd.put(key, action);
                isWatched = true;
            }
            isOnly = onEnd.size() <= 1;
        } finally {
            lock.unlock();
        }
        if (isEndKnown) {
            action.run();
        }
        return isOnly;
    }

    /** Removes an action; what was read ahead is kept for the next read. */
    void unwatch(Object key) {
        if (!isWatched) {
            return;
        }
        lock.lock();
        try {
            onEnd.remove(key);
            isWatched = !onEnd.isEmpty();
        } finally {
            lock.unlock();
        }
    }

    /** Reads what has arrived and looks for the end if there is an action to run; returns whether there was one. */
    boolean checkWatched() {
        if (!isWatched) {
            return false;
        }
        check(true);
        return true;
    }

    /** Reads what has arrived, and returns whether the input has ended. */
    boolean hasEnded() {
        return check(false);
    }

    /** Returns whether a check has found the end of the input. */
    boolean isEndKnown() {
        return hasEnded;
    }

    /** Lets no check read any more, as when the rest of the input is discarded. */
    void endChecks() {
        lock.lock();
        try {
            areChecksEnded = true;
        } finally {
            lock.unlock();
        }
    }

    /** Runs all actions as if the end had been found, as when the responses can no longer be sent. */
    void markEnded() {
        lock.lock();
        try {
            hasEnded = true;
        } finally {
            lock.unlock();
        }
        check(false);
    }

    private boolean check(boolean isForAction) {
        List<Runnable> actions = List.of();
        boolean isEnd;
        lock.lock();
        try {
            if (isForAction && onEnd.isEmpty()) {
                return hasEnded;
            }
            hasEnded = hasEnded || (!isReading && !areChecksEnded && readAhead());
            isEnd = hasEnded;
            if (isEnd && !onEnd.isEmpty()) {
                actions = new ArrayList<>(onEnd.values());
                onEnd.clear();
                isWatched = false;
            }
            isAhead = ahead.size() > 0;
        } finally {
            lock.unlock();
        }
        runAll(actions);
        return isEnd;
    }

    /** Runs every action, also when one fails. */
    private static void runAll(List<Runnable> actions) {
        RuntimeException failure = null;
        for (Runnable action : actions) {
            try {
                action.run();
            } catch (RuntimeException defect) {
                failure = defect;
            }
        }
        if (failure != null) {
            throw failure;
        }
    }

    /** Reads what has arrived; returns whether the input ends behind it. */
    private boolean readAhead() {
        try {
            while (!hasOverflowed) {
                ByteBuffer room = ahead.room();
                if (!room.hasRemaining()) {
                    break;
                }
                long now = System.nanoTime();
                int count = arrived.readInto(room);
                if (count <= 0) {
                    emptyNanoseconds = count == 0 ? now : emptyNanoseconds;
                    return count == ArrivedBytes.END;
                }
                ahead.added(count, emptyNanoseconds);
            }
            return dropArrived();
        } catch (IOException broken) {
            return true;
        }
    }

    /** Drops what there is no room for; returns whether the input ends behind it. */
    private boolean dropArrived() throws IOException {
        ByteBuffer dropped = ByteBuffer.allocate(DROP_BUFFER_BYTES);
        for (int total = 0; total < DROP_LIMIT_BYTES; total += dropped.position()) {
            dropped.clear();
            int count = arrived.readInto(dropped);
            if (count <= 0) {
                return count == ArrivedBytes.END;
            }
            hasOverflowed = true;
        }
        return false;
    }

    /** Returns whether bytes were dropped, so that what follows can no longer be read as requests. */
    boolean hasOverflowed() {
        return hasOverflowed;
    }

    /** Returns whether a read, as opposed to a check, has found the end of the input. */
    boolean hasReadEnd() {
        return hasReadEnd;
    }

    /** Returns whether bytes have been read since the start or the last call of {@link #forgetReadBytes}. */
    boolean hasReadBytes() {
        return hasReadBytes;
    }

    void forgetReadBytes() {
        hasReadBytes = false;
    }

    // -- input that was read ahead

    /** Returns whether the whole head of a further request has been read ahead. */
    boolean hasHeadAhead() {
        if (!isAhead) {
            return false;
        }
        lock.lock();
        try {
            return ahead.headLength() > 0;
        } finally {
            lock.unlock();
        }
    }

    /** Returns a time at or before the arrival of the first byte that was read ahead; empty if there is none. */
    OptionalLong arrivalNanoseconds() {
        if (!isAhead) {
            return OptionalLong.empty();
        }
        lock.lock();
        try {
            return ahead.arrivalNanoseconds();
        } finally {
            lock.unlock();
        }
    }

    /** Drops the empty lines before a request, which some clients send behind a body; they are not part of it. */
    void skipEmptyLines() {
        if (!isAhead) {
            return;
        }
        lock.lock();
        try {
            ahead.skipEmptyLines();
            isAhead = ahead.size() > 0;
        } finally {
            lock.unlock();
        }
    }

    /** Puts bytes back that were read but belong to a later request. */
    void putBack(byte[] bytes, long arrivalNanoseconds) {
        lock.lock();
        try {
            ahead.putBack(bytes, arrivalNanoseconds);
            isAhead = true;
        } finally {
            lock.unlock();
        }
    }

    // -- reads

    @Override
    public int read() throws IOException {
        byte[] singleByte = new byte[1];
        int count = read(singleByte, 0, 1);
        return count < 0 ? -1 : Byte.toUnsignedInt(singleByte[0]);
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
        if (length == 0) {
            return 0;
        }
        lock.lock();
        try {
            if (ahead.size() > 0) {
                hasReadBytes = true;
                int count = ahead.take(bytes, offset, length);
                isAhead = ahead.size() > 0;
                return count;
            }
            if (hasEnded || hasOverflowed) {
                hasReadEnd = true;
                return -1;
            }
            isReading = true;
        } finally {
            lock.unlock();
        }
        int count = 0;
        try {
            count = source.read(bytes, offset, length);
        } finally {
            finishRead(count, count < length);
        }
        return count;
    }

    private void finishRead(int count, boolean isSourceEmpty) {
        lock.lock();
        try {
            isReading = false;
            // What lies behind the first bytes of a request counts as arrived with them.
            if (isSourceEmpty || !hasReadBytes) {
                emptyNanoseconds = System.nanoTime();
            }
            hasReadBytes = hasReadBytes || count > 0;
            hasReadEnd = hasReadEnd || count < 0;
        } finally {
            lock.unlock();
        }
    }

    @Override
    public int available() throws IOException {
        lock.lock();
        try {
            if (ahead.size() > 0) {
                return ahead.size();
            }
            long now = System.nanoTime();
            int count = source.available();
            emptyNanoseconds = count == 0 ? now : emptyNanoseconds;
            return count;
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void close() throws IOException {
        source.close();
    }
}
