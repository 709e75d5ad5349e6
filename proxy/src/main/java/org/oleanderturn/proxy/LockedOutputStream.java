package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Objects;
import java.util.concurrent.locks.ReentrantLock;

/** An output stream that holds a lock while it writes. Thread safe as far as the stream behind it is. */
final class LockedOutputStream extends OutputStream {
    private final OutputStream destination;
    private final ReentrantLock lock;

    LockedOutputStream(OutputStream destination, ReentrantLock lock) {
        this.destination = Objects.requireNonNull(destination, "destination is null");
        this.lock = Objects.requireNonNull(lock, "lock is null");
    }

    @Override
    public void write(int value) throws IOException {
        write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
        lock.lock();
        try {
            destination.write(bytes, offset, length);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void flush() throws IOException {
        destination.flush();
    }

    @Override
    public void close() throws IOException {
        destination.close();
    }
}
