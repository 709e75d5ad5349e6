package org.oleanderturn.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Helpers that close, sleep and wait without checked exceptions. Stateless and thread safe. */
final class IoUtilities {
    private IoUtilities() {}

    static void closeQuietly(Closeable closeable) {
        if (closeable == null) {
            return;
        }
        try {
            closeable.close();
        } catch (IOException ignored) {
            // The resource is discarded in any case.
        }
    }

    /** Sleeps; returns false if the thread was interrupted, and then sets its interrupt flag again. */
    static boolean sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
            return true;
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Waits for a latch; returns false on timeout or if the thread was interrupted, and then sets its interrupt flag again.
     */
    static boolean await(CountDownLatch latch, long seconds) {
        try {
            return latch.await(seconds, TimeUnit.SECONDS);
        } catch (InterruptedException interrupt) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
