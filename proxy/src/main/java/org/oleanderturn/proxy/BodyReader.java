package org.oleanderturn.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Reads a whole body into memory that is reserved before it is allocated.
 *
 * <p>Invariant: whatever the declared length, no more is reserved than has arrived and one segment. Not thread safe.
 */
final class BodyReader {
    private static final int SEGMENT_BYTES = 16_384;

    private final InputStream input;
    private final int limitBytes;
    private final BodyReservation reservation;
    private final List<byte[]> segments = new ArrayList<>();
    private long reservedBytes;
    private int length;

    private BodyReader(InputStream input, int limitBytes, BodyReservation reservation) {
        this.input = input;
        this.limitBytes = limitBytes;
        this.reservation = reservation;
    }

    /**
     * Reads a body to its end; its length stays reserved, or nothing if the read fails.
     *
     * @param declaredBytes the declared length; negative if it is unknown
     * @throws ResponseLimitException if the body is longer than the limit or the reservation allows
     */
    static byte[] read(InputStream input, long declaredBytes, int limitBytes, BodyReservation reservation)
            throws IOException {
        Objects.requireNonNull(input, "input is null");
        Objects.requireNonNull(reservation, "reservation is null");
        if (declaredBytes > limitBytes) {
            throw new ResponseLimitException(UpstreamFailure.Limit.BODY);
        }
        BodyReader reader = new BodyReader(input, limitBytes, reservation);
        boolean isComplete = false;
        try {
            byte[] body = reader.read(declaredBytes);
            isComplete = true;
            return body;
        } finally {
            reservation.release(reader.reservedBytes - (isComplete ? reader.length : 0));
        }
    }

    private byte[] read(long declaredBytes) throws IOException {
        boolean isShort = declaredBytes >= 0 && declaredBytes <= SEGMENT_BYTES;
        byte[] segment = allocate(isShort ? (int) declaredBytes : SEGMENT_BYTES);
        segments.add(segment);
        int used = 0;
        int next = input.read();
        while (next >= 0) {
            if (used == segment.length) {
                segment = allocate(SEGMENT_BYTES);
                segments.add(segment);
                used = 0;
            }
            segment[used] = (byte) next;
            int count = input.readNBytes(segment, used + 1, segment.length - used - 1);
            used += count + 1;
            length += count + 1;
            if (length > limitBytes) {
                throw new ResponseLimitException(UpstreamFailure.Limit.BODY);
            }
            next = input.read();
        }
        return segments.size() == 1 && length == segment.length ? segment : joined();
    }

    private byte[] joined() throws IOException {
        byte[] body = allocate(length);
        int position = 0;
        for (byte[] segment : segments) {
            int count = Math.min(segment.length, length - position);
            System.arraycopy(segment, 0, body, position, count);
            position += count;
        }
        return body;
    }

    private byte[] allocate(int count) throws IOException {
        if (!reservation.tryReserve(count)) {
            throw new ResponseLimitException(UpstreamFailure.Limit.MEMORY);
        }
        reservedBytes += count;
        return new byte[count];
    }
}
