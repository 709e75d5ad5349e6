package org.oleanderturn.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Closes and pauses where a failure changes nothing. */
final class IoUtilities {
    private IoUtilities() {}

    static void closeQuietly(Closeable closeable) {
        if (closeable == null) {
            return;
        }
        try {
            closeable.close();
        } catch (IOException ignored) {
            // It is of no more use in any case.
        }
    }

    /** Pauses the thread; returns whether the pause was not interrupted. */
    static boolean sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
            return true;
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Waits for a latch; returns false when it stays up or the thread was interrupted. */
    static boolean await(CountDownLatch latch, long seconds) {
        try {
            return latch.await(seconds, TimeUnit.SECONDS);
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
