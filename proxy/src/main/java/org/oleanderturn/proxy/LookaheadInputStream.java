package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;

/**
 * A connection's input stream that detects the end of the input while nobody reads from it.
 *
 * <p>A check reads what has arrived, without waiting; later reads return it first, so no byte is lost. Invariant: the end is
 * found behind at most {@value #LIMIT_BYTES} unread bytes. A check must not run while a read waits for the source. Thread
 * safe otherwise.
 */
final class LookaheadInputStream extends InputStream {
    /** The longest input that is read ahead; a client that sends its next request early sends a short one. */
    private static final int LIMIT_BYTES = 1_024;

    /** Reads bytes that have arrived, without waiting for more. */
    @FunctionalInterface
    interface ArrivedBytes {

        /** Adds bytes to the buffer and returns how many; negative at the end of the input. */
        int readInto(ByteBuffer buffer) throws IOException;
    }

    private final InputStream source;
    private final ArrivedBytes arrived;
    private final ReentrantLock lock = new ReentrantLock();
    private ByteBuffer ahead = ByteBuffer.allocate(0);
    private boolean hasEnded;
    private volatile boolean hasReadEnd;
    private volatile boolean hasReadBytes;
    private Optional<Runnable> onEnd = Optional.empty();

    private LookaheadInputStream(InputStream source, ArrivedBytes arrived) {
        this.source = source;
        this.arrived = arrived;
    }

    /** Returns a stream that reads from a source, and looks ahead with what reads the same bytes without waiting. */
    static LookaheadInputStream of(InputStream source, ArrivedBytes arrived) {
        Objects.requireNonNull(source, "source is null");
        Objects.requireNonNull(arrived, "arrived is null");
        return new LookaheadInputStream(source, arrived);
    }

    // -- checks

    /** Sets the action that the check that finds the end runs; runs it at once if the end has been found. */
    void watch(Runnable action) {
        boolean isEndKnown;
        lock.lock();
        try {
            isEndKnown = hasEnded;
            onEnd = isEndKnown ? Optional.empty() : Optional.of(action);
        } finally {
            lock.unlock();
        }
        if (isEndKnown) {
            action.run();
        }
    }

    /** Removes the action; what was read ahead is kept for the next read. */
    void unwatch() {
        lock.lock();
        try {
            onEnd = Optional.empty();
        } finally {
            lock.unlock();
        }
    }

    /** Looks for the end if there is an action to run. */
    void checkWatched() {
        check(true);
    }

    /** Returns whether the input has ended. */
    boolean hasEnded() {
        return check(false);
    }

    private boolean check(boolean isForAction) {
        Optional<Runnable> action = Optional.empty();
        boolean isEnd;
        lock.lock();
        try {
            if (isForAction && onEnd.isEmpty()) {
                return hasEnded;
            }
            hasEnded = hasEnded || readAhead();
            isEnd = hasEnded;
            if (isEnd) {
                action = onEnd;
                onEnd = Optional.empty();
            }
        } finally {
            lock.unlock();
        }
        action.ifPresent(Runnable::run);
        return isEnd;
    }

    /** Reads what has arrived; returns whether the input ends behind it. */
    private boolean readAhead() {
        if (ahead.capacity() == 0) {
            ahead = ByteBuffer.allocate(LIMIT_BYTES);
        }
        try {
            int count = 1;
            while (count > 0 && ahead.hasRemaining()) {
                count = arrived.readInto(ahead);
            }
            return count < 0;
        } catch (IOException broken) {
            return true;
        }
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
            if (ahead.position() > 0) {
                hasReadBytes = true;
                return takeAhead(bytes, offset, length);
            }
            if (hasEnded) {
                hasReadEnd = true;
                return -1;
            }
        } finally {
            lock.unlock();
        }
        int count = source.read(bytes, offset, length);
        hasReadBytes = hasReadBytes || count > 0;
        hasReadEnd = hasReadEnd || count < 0;
        return count;
    }

    private int takeAhead(byte[] bytes, int offset, int length) {
        ahead.flip();
        int count = Math.min(length, ahead.remaining());
        ahead.get(bytes, offset, count);
        ahead.compact();
        return count;
    }

    @Override
    public int available() throws IOException {
        lock.lock();
        try {
            return ahead.position() > 0 ? ahead.position() : source.available();
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void close() throws IOException {
        source.close();
    }
}
