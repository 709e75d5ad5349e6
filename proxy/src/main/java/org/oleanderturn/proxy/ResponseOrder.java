package org.oleanderturn.proxy;

import java.util.OptionalLong;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.apache.hc.core5.http.ConnectionClosedException;

/**
 * The order in which the requests of one connection are started and answered.
 *
 * <p>A request that begins while no other is in service is a first request; those that are started behind it before it and
 * they have all been answered are its followers. Invariants: a response is written only when all before it have been; once
 * the order is sealed, no request is started; a response closes the connection only if the order is sealed and no request
 * was started behind its own. Thread safe.
 */
final class ResponseOrder {
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final int limit;

    // Written under the lock, and read without it where the answer of a moment ago is as good.
    private volatile long started;
    private volatile long answered;
    private volatile int runningFollowers;
    private volatile boolean areFollowersAllowed;
    private volatile boolean isSealed;
    private volatile boolean hasFailed;

    /** Returns an order in which at most the given number of requests are in service at a time. */
    ResponseOrder(int limit) {
        this.limit = limit;
    }

    // -- queries

    /** Returns the number of requests that were started and are not answered. */
    int inService() {
        long finished = answered;
        return (int) (started - finished);
    }

    /**
     * Returns whether a follower may be started now. The permission is read last: it is withdrawn before a request that allows
     * none is started.
     */
    boolean hasRoom() {
        int inService = inService();
        return inService > 0 && inService < limit && !isSealed && areFollowersAllowed;
    }

    boolean isSealed() {
        return isSealed;
    }

    // -- commands

    /** Starts a request without followers while no other is in service, and returns its number. */
    long startFirst() {
        lock.lock();
        try {
            areFollowersAllowed = false;
            return countStarted();
        } finally {
            lock.unlock();
        }
    }

    /** Counts a request under the lock, and returns its number. */
    private long countStarted() {
        long number = started;
        started = number + 1;
        return number;
    }

    private void countFollowers(int difference) {
        int known = runningFollowers;
        runningFollowers = known + difference;
    }

    void allowFollowers() {
        lock.lock();
        try {
            areFollowersAllowed = true;
        } finally {
            lock.unlock();
        }
    }

    /** Starts a follower if one may be started, and returns its number. */
    OptionalLong tryStartFollower() {
        lock.lock();
        try {
            if (!hasRoom()) {
                return OptionalLong.empty();
            }
            countFollowers(1);
            return OptionalLong.of(countStarted());
        } finally {
            lock.unlock();
        }
    }

    /** Lets no request be started any more. */
    void seal() {
        lock.lock();
        try {
            isSealed = true;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Decides whether the connection is closed behind the response to a request.
     *
     * @param isWanted whether the response is to close the connection; then no request is started any more, and the response
     *     to the last one that was started closes it
     */
    boolean closesAfter(long number, boolean isWanted) {
        lock.lock();
        try {
            isSealed |= isWanted;
            return isSealed && started == number + 1;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until the response to a request may be written.
     *
     * @throws ConnectionClosedException if a response before it could not be written
     */
    void awaitTurn(long number) throws ConnectionClosedException {
        if (answered >= number && !hasFailed) {
            return;
        }
        lock.lock();
        try {
            while (answered < number && !hasFailed) {
                changed.awaitUninterruptibly();
            }
            if (hasFailed) {
                throw new ConnectionClosedException("an earlier response on the connection could not be sent");
            }
        } finally {
            lock.unlock();
        }
    }

    /** Records that the response to a request, and thus to all before it, has been written. */
    void finish(long number) {
        lock.lock();
        try {
            answered = number + 1;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Records that no further response can be written. */
    void fail() {
        lock.lock();
        try {
            hasFailed = true;
            isSealed = true;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    void endFollower() {
        lock.lock();
        try {
            countFollowers(-1);
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /** Waits until no follower is running. */
    void awaitFollowers() {
        if (runningFollowers == 0) {
            return;
        }
        lock.lock();
        try {
            while (runningFollowers > 0) {
                changed.awaitUninterruptibly();
            }
        } finally {
            lock.unlock();
        }
    }
}
