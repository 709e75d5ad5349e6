package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * A socket's input stream that detects a disconnect of the peer while nobody reads from it.
 *
 * <p>Watching reads one byte ahead on another thread. A later read waits for that byte and returns it first, so no byte
 * is lost. Invariant: at most one thread reads from the source at any time. Thread safe.
 */
final class LookaheadInputStream extends InputStream {

    /** The state of the byte that is read ahead. */
    private enum LookaheadState {
        NONE,
        READING,
        BUFFERED,
        ENDED
    }

    private final InputStream source;
    private final Executor executor;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition readCompleted = lock.newCondition();
    private LookaheadState state = LookaheadState.NONE;
    private byte bufferedByte;
    private Optional<Runnable> onEnd = Optional.empty();

    private LookaheadInputStream(InputStream source, Executor executor) {
        this.source = source;
        this.executor = executor;
    }

    static LookaheadInputStream of(InputStream source, Executor executor) {
        Objects.requireNonNull(source, "source is null");
        Objects.requireNonNull(executor, "executor is null");
        return new LookaheadInputStream(source, executor);
    }

    /** Starts to watch; runs the action once if the input ends before {@link #unwatch} is called. */
    void watch(Runnable action) {
        boolean hasEnded = false;
        lock.lock();
        try {
            onEnd = Optional.of(action);
            switch (state) {
                case NONE -> startReading();
                case ENDED -> hasEnded = true;
                case READING, BUFFERED -> {}
            }
        } finally {
            lock.unlock();
        }
        if (hasEnded) {
            action.run();
        }
    }

    /** Stops watching; a byte that was read ahead is kept for the next read. */
    void unwatch() {
        lock.lock();
        try {
            onEnd = Optional.empty();
        } finally {
            lock.unlock();
        }
    }

    /** Starts the read ahead; if the executor has been shut down, a disconnect stays undetected. */
    private void startReading() {
        try {
            executor.execute(this::readAhead);
            state = LookaheadState.READING;
        } catch (RejectedExecutionException rejected) {
            onEnd = Optional.empty();
        }
    }

    private void readAhead() {
        while (true) {
            try {
                completeRead(source.read());
                return;
            } catch (SocketTimeoutException cause) {
                if (!isWatched()) {
                    completeRead(-1);
                    return;
                }
            } catch (IOException cause) {
                completeRead(-1);
                return;
            }
        }
    }

    private boolean isWatched() {
        lock.lock();
        try {
            return onEnd.isPresent();
        } finally {
            lock.unlock();
        }
    }

    private void completeRead(int nextByte) {
        Optional<Runnable> action = Optional.empty();
        lock.lock();
        try {
            state = nextByte < 0 ? LookaheadState.ENDED : LookaheadState.BUFFERED;
            bufferedByte = (byte) nextByte;
            if (nextByte < 0) {
                action = onEnd;
            }
            readCompleted.signalAll();
        } finally {
            lock.unlock();
        }
        action.ifPresent(Runnable::run);
    }

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
            while (state == LookaheadState.READING) {
                readCompleted.awaitUninterruptibly();
            }
            if (state == LookaheadState.ENDED) {
                return -1;
            }
            if (state == LookaheadState.BUFFERED) {
                state = LookaheadState.NONE;
                bytes[offset] = bufferedByte;
                return 1;
            }
        } finally {
            lock.unlock();
        }
        return source.read(bytes, offset, length);
    }

    @Override
    public int available() throws IOException {
        lock.lock();
        try {
            return state == LookaheadState.BUFFERED ? 1 : source.available();
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void close() throws IOException {
        source.close();
    }
}
