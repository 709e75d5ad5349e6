package org.oleanderturn.proxy;

import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Limits what is received from a peer during one exchange.
 *
 * <p>Invariants: the time limit applies to all reads together, however few bytes each of them brings; the bytes received
 * without a byte of a body are reserved, and exceed their limit by no more than one read. Not thread safe.
 */
final class ReceiveLimits implements AutoCloseable {
    /** Proper heads have a few thousand bytes. */
    private static final int MAXIMUM_HEAD_BYTES = 131_072;

    private final LongSupplier clockNanoseconds;
    private final long deadlineNanoseconds;
    private final BodyReservation reservation;
    private int bytesWithoutBody;

    private ReceiveLimits(LongSupplier clockNanoseconds, long deadlineNanoseconds, BodyReservation reservation) {
        this.clockNanoseconds = clockNanoseconds;
        this.deadlineNanoseconds = deadlineNanoseconds;
        this.reservation = reservation;
    }

    /** Returns the limits of an exchange that begins now. */
    static ReceiveLimits startingNow(Duration timeout, LongSupplier clockNanoseconds, BodyReservation reservation) {
        return new ReceiveLimits(clockNanoseconds, clockNanoseconds.getAsLong() + timeout.toNanos(), reservation);
    }

    /**
     * Returns how long the next read may block.
     *
     * @throws SocketTimeoutException if the time limit has passed
     */
    Duration remaining() throws SocketTimeoutException {
        long remaining = deadlineNanoseconds - clockNanoseconds.getAsLong();
        if (remaining <= 0) {
            throw new SocketTimeoutException("the time limit of the exchange has passed");
        }
        return Duration.ofNanos(remaining);
    }

    /**
     * Records a read of bytes, which may belong to a head, to a body or to the framing of a body.
     *
     * @throws ResponseLimitException if too many bytes were received since the last byte of a body, or no memory is left
     */
    void recordRead(int bytes) throws ResponseLimitException {
        if (!reservation.tryReserve(bytes)) {
            throw new ResponseLimitException(UpstreamFailure.Limit.MEMORY);
        }
        bytesWithoutBody += bytes;
        if (bytesWithoutBody > MAXIMUM_HEAD_BYTES) {
            throw new ResponseLimitException(UpstreamFailure.Limit.HEAD);
        }
    }

    /** Records that part of a body has been decoded. */
    void recordBodyRead() {
        reservation.release(bytesWithoutBody);
        bytesWithoutBody = 0;
    }

    /** Returns what is reserved for bytes without a body. */
    @Override
    public void close() {
        recordBodyRead();
    }
}
